package events

import (
	"context"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/ring"
)

const (
	// ringLines is the number of lines that may wait for the writer.
	ringLines = 4096
	// batchBytes bounds the lines that one write combines.
	batchBytes = 64 << 10
	// batchDelay is the pause after a write. It lets lines gather: waking the
	// writer for each line costs its caller more than encoding the line.
	batchDelay = time.Millisecond
	// lineBytes is the initial size of a line buffer.
	lineBytes = 512
	// keptLineBytes is the largest line buffer that is used again.
	keptLineBytes = 8 << 10
)

// Handler is an apex/log handler that writes JSON lines from one goroutine.
// Lines are encoded by the caller into pooled buffers and queued in a bounded
// ring. When the ring is full, the caller writes its line itself: this slows
// the caller, may put the line before queued ones, and loses nothing.
//
// The level can change at run time; set the level of the log.Logger to
// log.DebugLevel so that the handler decides. It is safe for concurrent use.
type Handler struct {
	level   atomic.Int32
	queue   *ring.Ring[*[]byte]
	buffers sync.Pool
	writing sync.Mutex // Held during each write.
	w       io.Writer
	failed  atomic.Uint64
	drops   bool // Lines that find the ring full are dropped and counted.
	dropped atomic.Uint64
	written chan struct{} // Closed when the writer goroutine has ended.
}

// NewDroppingHandler returns a handler that never blocks a caller: a line that
// finds the ring full is dropped and counted.
func NewDroppingHandler(w io.Writer) *Handler {
	h := prepareHandler(w, ringLines)
	h.drops = true
	go h.writeQueued()
	return h
}

// Dropped returns the number of lines that were dropped.
func (h *Handler) Dropped() uint64 { return h.dropped.Load() }

// NewHandler returns a handler at level info that writes to w. Close ends its
// goroutine.
func NewHandler(w io.Writer) *Handler {
	return newHandler(w, ringLines)
}

func newHandler(w io.Writer, lines int) *Handler {
	h := prepareHandler(w, lines)
	go h.writeQueued()
	return h
}

func prepareHandler(w io.Writer, lines int) *Handler {
	h := &Handler{w: w, queue: ring.New[*[]byte](lines), written: make(chan struct{})}
	h.buffers.New = func() any {
		b := make([]byte, 0, lineBytes)
		return &b
	}
	h.SetLevel(log.InfoLevel)
	return h
}

// SetLevel changes the lowest level that is written.
func (h *Handler) SetLevel(level log.Level) { h.level.Store(int32(level)) }

// Enabled reports whether lines of the level are written.
func (h *Handler) Enabled(level log.Level) bool { return int32(level) >= h.level.Load() }

// Failed returns the number of writes that the writer refused. Their lines are
// lost.
func (h *Handler) Failed() uint64 { return h.failed.Load() }

// Close writes all queued lines and ends the writer goroutine. Lines that come
// later are written by their callers. It may be called once.
func (h *Handler) Close() error {
	h.queue.Close()
	<-h.written
	return nil
}

// HandleLog encodes an entry in the form of apex's JSON handler.
func (h *Handler) HandleLog(e *log.Entry) error {
	if !h.Enabled(e.Level) {
		return nil
	}
	line := h.buffer()
	b := append(*line, `{"fields":{`...)
	for i, name := range e.Fields.Names() {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendText(b, name)
		b = append(b, ':')
		b = appendAny(b, e.Fields[name])
	}
	*line = appendEnd(b, e.Level, e.Timestamp, e.Message)
	h.put(line)
	return nil
}

// emit encodes an event; base holds encoded fields with leading commas.
func (h *Handler) emit(e *Event, base []byte, fields []Field) {
	line := h.buffer()
	b := append(*line, `{"fields":{`...)
	b = append(b, `"event":`...)
	b = strconv.AppendInt(b, int64(e.Number), 10)
	b = append(b, `,"name":"`...)
	b = append(b, e.Name...)
	b = append(b, '"')
	b = append(b, base...)
	for i := range fields {
		b = fields[i].append(b)
	}
	*line = appendEnd(b, e.Level, time.Now(), e.Message)
	h.put(line)
}

func appendEnd(b []byte, level log.Level, at time.Time, message string) []byte {
	b = append(b, `},"level":"`...)
	b = append(b, level.String()...)
	b = append(b, `","timestamp":"`...)
	b = at.AppendFormat(b, time.RFC3339Nano)
	b = append(b, `","message":`...)
	b = appendText(b, message)
	return append(b, '}', '\n')
}

func (h *Handler) buffer() *[]byte {
	line := h.buffers.Get().(*[]byte)
	*line = (*line)[:0]
	return line
}

func (h *Handler) release(line *[]byte) {
	if cap(*line) <= keptLineBytes {
		h.buffers.Put(line)
	}
}

// put queues a line, or writes it when the ring is full or closed.
func (h *Handler) put(line *[]byte) {
	if h.queue.TryPush(line) {
		return
	}
	if h.drops {
		h.dropped.Add(1)
		h.release(line)
		return
	}
	h.write(*line)
	h.release(line)
}

func (h *Handler) write(b []byte) {
	h.writing.Lock()
	defer h.writing.Unlock()
	if _, err := h.w.Write(b); err != nil {
		h.failed.Add(1)
	}
}

func (h *Handler) writeQueued() {
	defer close(h.written)
	batch := make([]byte, 0, batchBytes)
	for {
		line, ok := h.queue.Pop(context.Background())
		if !ok {
			return
		}
		batch = h.take(batch[:0], line)
		for h.queue.Len() > 0 && len(batch) < batchBytes {
			if line, ok = h.queue.Pop(context.Background()); !ok {
				break
			}
			batch = h.take(batch, line)
		}
		h.write(batch)
		if h.queue.Len() < ringLines/2 {
			time.Sleep(batchDelay)
		}
	}
}

func (h *Handler) take(batch []byte, line *[]byte) []byte {
	batch = append(batch, *line...)
	h.release(line)
	return batch
}
