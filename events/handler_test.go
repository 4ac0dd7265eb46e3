package events

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// decodeLines decodes JSON lines.
func decodeLines(t *testing.T, text string) []map[string]any {
	t.Helper()
	var list []map[string]any
	for line := range strings.Lines(text) {
		var m map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &m), line)
		list = append(list, m)
	}
	return list
}

func TestEmitFieldsWritesOneJSONLine(t *testing.T) {
	var out bytes.Buffer
	h := NewHandler(&out)
	l := New((&log.Logger{Handler: h, Level: log.DebugLevel}).WithField("instance", "a-1"))
	l.EmitFields(&LookupDecided, String("caller", "quote \" and \u00e9 and \xff"), Int("n", -3),
		Uint("u", math.MaxUint64), Bool("b", true), Strings("s", []string{"x", "y"}),
		Addr("a", netip.MustParseAddr("fe80::1%\"")))
	l.Emit(LookupRefused, log.Fields{"reason": "test", "error": errors.New("broken"), "f": math.NaN()})
	require.NoError(t, h.Close())
	got := decodeLines(t, out.String())
	require.Len(t, got, 2)
	fields := got[0]["fields"].(map[string]any)
	assert.Equal(t, "a-1", fields["instance"])
	assert.Equal(t, "quote \" and \u00e9 and \ufffd", fields["caller"])
	assert.EqualValues(t, 450, fields["event"])
	assert.EqualValues(t, -3, fields["n"])
	assert.Equal(t, true, fields["b"])
	assert.Equal(t, []any{"x", "y"}, fields["s"])
	assert.Equal(t, "fe80::1", fields["a"])
	assert.Equal(t, "info", got[0]["level"])
	fields = got[1]["fields"].(map[string]any)
	assert.Equal(t, "a-1", fields["instance"])
	assert.Equal(t, "broken", fields["error"])
	assert.Equal(t, "NaN", fields["f"])
}

// An event must have the same fields when the logger has a handler of another type.
func TestEmitFieldsThroughOtherHandler(t *testing.T) {
	var got *log.Entry
	handler := log.HandlerFunc(func(e *log.Entry) error { got = e; return nil })
	New(&log.Logger{Handler: handler}).EmitFields(&LookupDecided, String("caller", "x"), Int("n", 2))
	assert.Equal(t, log.Fields{"caller": "x", "n": int64(2), "event": 450, "name": "lookup-decided"}, got.Fields)
}

func TestLevelChangesAtRunTime(t *testing.T) {
	var out bytes.Buffer
	h := NewHandler(&out)
	logger := &log.Logger{Handler: h, Level: log.DebugLevel}
	l := New(logger)
	logger.Debug("hidden")
	l.SetLevel(log.DebugLevel)
	logger.Debug("shown")
	l.SetLevel(log.ErrorLevel)
	l.EmitFields(&LookupDecided)
	l.Emit(LookupDecided, nil)
	require.NoError(t, h.Close())
	got := decodeLines(t, out.String())
	require.Len(t, got, 1)
	assert.Equal(t, "shown", got[0]["message"])
}

// The encoder must produce valid JSON for arbitrary strings.
func FuzzAppendText(f *testing.F) {
	for _, seed := range []string{"", "a", "\"\\\x00\x1f\x7f", "\u00e9\u2028\U0001f600", "\xff\xc3", "\xe2\x80"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var fromString string
		require.NoError(t, json.Unmarshal(appendString(nil, text), &fromString))
		assert.Equal(t, string([]rune(text)), fromString)
	})
}

func TestEventFieldNamesNeedNoEscapes(t *testing.T) {
	for _, e := range Catalogue() {
		for _, name := range append(e.Fields, e.Name) {
			assert.Equal(t, "\""+name+"\"", string(appendString(nil, name)), e.Number)
		}
	}
}

// blockedWriter blocks writes until open is closed.
type blockedWriter struct {
	open    chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (writer *blockedWriter) Write(b []byte) (int, error) {
	<-writer.open
	writer.mu.Lock()
	defer writer.mu.Unlock()
	return writer.written.Write(b)
}

// No line may be lost when the ring is full, nor at or after Close.
func TestFullRingLosesNoLines(t *testing.T) {
	const writers, each = 8, 500
	writer := &blockedWriter{open: make(chan struct{})}
	h := newHandler(writer, 4)
	l := New(&log.Logger{Handler: h, Level: log.DebugLevel})
	var done sync.WaitGroup
	for w := range writers {
		done.Go(func() {
			for i := range each {
				l.EmitFields(&LookupDecided, Int("id", int64(w*each+i)))
			}
		})
	}
	close(writer.open)
	done.Wait()
	require.NoError(t, h.Close())
	l.EmitFields(&LookupDecided, Int("id", writers*each))
	seen := map[float64]bool{}
	for _, line := range decodeLines(t, writer.written.String()) {
		seen[line["fields"].(map[string]any)["id"].(float64)] = true
	}
	assert.Len(t, seen, writers*each+1)
	assert.Zero(t, h.FailedWrites())
}

// discardWriter accepts writes and discards the data.
type discardWriter struct{}

func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// Log lines are written for every request, so emitting one must not allocate.
func TestEmitFieldsAllocatesNothing(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector makes sync.Pool drop buffers at random")
	}
	h := NewHandler(discardWriter{})
	defer func() { _ = h.Close() }()
	l := New(&log.Logger{Handler: h, Level: log.DebugLevel})
	allocations := testing.AllocsPerRun(1000, func() {
		l.EmitFields(&LookupDecided, String("caller", "10.0.0.1"), Int("n", 1))
		for h.queue.Len() > 0 {
			runtime.Gosched() // Lets the writer return the buffer.
		}
	})
	assert.Less(t, allocations, 1.0)
}

func BenchmarkEmitFields(b *testing.B) {
	h := NewHandler(discardWriter{})
	defer func() { _ = h.Close() }()
	l := New((&log.Logger{Handler: h, Level: log.DebugLevel}).WithField("instance", "a-1"))
	b.ReportAllocs()
	for b.Loop() {
		l.EmitFields(&LookupDecided, String("caller", "10.0.0.1"), String("site", "palermo-a"),
			String("service", "catalogue"), Uint("policyVersion", 7), Int("chosen", 8))
	}
}

func BenchmarkEmitMap(b *testing.B) {
	h := NewHandler(discardWriter{})
	defer func() { _ = h.Close() }()
	l := New((&log.Logger{Handler: h, Level: log.DebugLevel}).WithField("instance", "a-1"))
	b.ReportAllocs()
	for b.Loop() {
		l.Emit(LookupDecided, log.Fields{"caller": "10.0.0.1", "site": "palermo-a",
			"service": "catalogue", "policyVersion": 7, "chosen": 8})
	}
}

// stalledWriter blocks writes until unblock is closed.
type stalledWriter struct{ unblock chan struct{} }

func (w stalledWriter) Write(b []byte) (int, error) {
	<-w.unblock
	return len(b), nil
}

// Requests must not wait for a log writer that is blocked.
func TestDroppingHandlerNeverBlocks(t *testing.T) {
	w := stalledWriter{unblock: make(chan struct{})}
	h := NewDroppingHandler(w)
	l := New(&log.Logger{Handler: h, Level: log.DebugLevel})
	const lines = 3 * ringCapacity
	for range lines {
		l.EmitFields(&RequestEnded, String("request", "r"))
	}
	assert.GreaterOrEqual(t, h.DroppedLines(), uint64(lines-2*ringCapacity))
	close(w.unblock)
	require.NoError(t, h.Close())
}

// Load pattern: targets send long lines that are no responses, the errors quote
// them, and nobody reads the log. Guards against queued lines that take all memory.
func TestQueuedLinesAreBoundedInBytes(t *testing.T) {
	w := &blockedWriter{open: make(chan struct{})}
	h := NewDroppingHandler(w)
	logger := &log.Logger{Handler: h, Level: log.DebugLevel}
	long := strings.Repeat("\x01", 60<<10)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range 1000 {
		logger.WithField("cause", long).Info("x")
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(32<<20))
	assert.NotZero(t, h.DroppedLines())
	close(w.open)
	require.NoError(t, h.Close())
}
