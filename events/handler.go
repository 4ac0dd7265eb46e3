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
	// ringCapacity is the number of lines that may wait for the writer.
	ringCapacity = 4096
	// maxBatchBytes bounds the lines that one write combines.
	maxBatchBytes = 64 << 10
	// batchDelay is the pause after a write. It lets lines gather: waking the
	// writer for each line costs its caller more than encoding the line.
	batchDelay = time.Millisecond
	// initialLineBytes is the initial size of a line buffer.
	initialLineBytes = 512
	// maxPooledLineBytes is the largest line buffer that is used again.
	maxPooledLineBytes = 8 << 10
)

// Handler is an apex/log handler that writes JSON lines from one goroutine.
// Lines are encoded by the caller into pooled buffers and queued in a bounded
// ring. When the ring is full, the caller writes its line itself: this slows
// the caller, may put the line before queued ones, and loses nothing.
//
// The level can change at run time; set the level of the log.Logger to
// log.DebugLevel so that the handler decides. It is safe for concurrent use.
type Handler struct {
	level        atomic.Int32
	queue        *ring.Ring[*[]byte]
	buffers      sync.Pool
	writeMutex   sync.Mutex // Held during each write.
	w            io.Writer
	failedWrites atomic.Uint64
	dropWhenFull bool // Lines that find the ring full are dropped and counted.
	droppedLines atomic.Uint64
	writerDone   chan struct{} // Closed when the writer goroutine has ended.
}

// NewDroppingHandler returns a handler that never blocks a caller: a line that
// finds the ring full is dropped and counted.
func NewDroppingHandler(w io.Writer) *Handler {
	h := buildHandler(w, ringCapacity)
	h.dropWhenFull = true
	go h.writeQueued()
	return h
}

// DroppedLines returns the number of lines that were dropped.
func (h *Handler) DroppedLines() uint64 { return h.droppedLines.Load() }

// NewHandler returns a handler at level info that writes to w. Close ends its
// goroutine.
func NewHandler(w io.Writer) *Handler {
	return newHandler(w, ringCapacity)
}

func newHandler(w io.Writer, lines int) *Handler {
	h := buildHandler(w, lines)
	go h.writeQueued()
	return h
}

func buildHandler(w io.Writer, lines int) *Handler {
	h := &Handler{w: w, queue: ring.New[*[]byte](lines), writerDone: make(chan struct{})}
	h.buffers.New = func() any {
		b := make([]byte, 0, initialLineBytes)
		return &b
	}
	h.SetLevel(log.InfoLevel)
	return h
}

// SetLevel changes the lowest level that is written.
func (h *Handler) SetLevel(level log.Level) { h.level.Store(int32(level)) }

// Enabled reports whether lines of the level are written.
func (h *Handler) Enabled(level log.Level) bool { return int32(level) >= h.level.Load() }

// FailedWrites returns the number of writes that the writer refused. Their lines are
// lost.
func (h *Handler) FailedWrites() uint64 { return h.failedWrites.Load() }

// Close writes all queued lines and ends the writer goroutine. Lines that come
// later are written by their callers. It may be called once.
func (h *Handler) Close() error {
	h.queue.Close()
	<-h.writerDone
	return nil
}

// HandleLog encodes an entry in the form of apex's JSON handler.
func (h *Handler) HandleLog(e *log.Entry) error {
	if !h.Enabled(e.Level) {
		return nil
	}
	line := h.acquireBuffer()
	b := append(*line, `{"fields":{`...)
	for i, name := range e.Fields.Names() {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendString(b, name)
		b = append(b, ':')
		b = appendValue(b, e.Fields[name])
	}
	*line = appendLineEnd(b, e.Level, e.Timestamp, e.Message)
	h.enqueue(line)
	return nil
}

// emit encodes an event; base holds encoded fields with leading commas.
func (h *Handler) emit(e *Event, base []byte, fields []Field) {
	line := h.acquireBuffer()
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
	*line = appendLineEnd(b, e.Level, time.Now(), e.Message)
	h.enqueue(line)
}

func appendLineEnd(b []byte, level log.Level, at time.Time, message string) []byte {
	b = append(b, `},"level":"`...)
	b = append(b, level.String()...)
	b = append(b, `","timestamp":"`...)
	b = at.AppendFormat(b, time.RFC3339Nano)
	b = append(b, `","message":`...)
	b = appendString(b, message)
	return append(b, '}', '\n')
}

func (h *Handler) acquireBuffer() *[]byte {
	line := h.buffers.Get().(*[]byte)
	*line = (*line)[:0]
	return line
}

func (h *Handler) releaseBuffer(line *[]byte) {
	if cap(*line) <= maxPooledLineBytes {
		h.buffers.Put(line)
	}
}

// enqueue queues a line, or writes it when the ring is full or closed.
func (h *Handler) enqueue(line *[]byte) {
	if h.queue.TryPush(line) {
		return
	}
	if h.dropWhenFull {
		h.droppedLines.Add(1)
		h.releaseBuffer(line)
		return
	}
	h.write(*line)
	h.releaseBuffer(line)
}

func (h *Handler) write(b []byte) {
	h.writeMutex.Lock()
	defer h.writeMutex.Unlock()
	if _, err := h.w.Write(b); err != nil {
		h.failedWrites.Add(1)
	}
}

func (h *Handler) writeQueued() {
	defer close(h.writerDone)
	batch := make([]byte, 0, maxBatchBytes)
	for {
		line, ok := h.queue.Pop(context.Background())
		if !ok {
			return
		}
		batch = h.appendLine(batch[:0], line)
		for h.queue.Len() > 0 && len(batch) < maxBatchBytes {
			if line, ok = h.queue.Pop(context.Background()); !ok {
				break
			}
			batch = h.appendLine(batch, line)
		}
		h.write(batch)
		if h.queue.Len() < ringCapacity/2 {
			time.Sleep(batchDelay)
		}
	}
}

func (h *Handler) appendLine(batch []byte, line *[]byte) []byte {
	batch = append(batch, *line...)
	h.releaseBuffer(line)
	return batch
}
