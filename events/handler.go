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
	// ringCapacity is the number of lines that may be queued for the writer
	// goroutine.
	ringCapacity = 4096
	// maxQueuedBytes is the length of all queued lines at which the ring counts as
	// full.
	maxQueuedBytes = 8 << 20
	// maxBatchBytes is the size at which a batch of lines is written.
	maxBatchBytes = 64 << 10
	// batchDelay is the pause after a write, during which further lines are queued.
	// Waking the writer goroutine for each line would cost the caller more than
	// encoding the line.
	batchDelay = time.Millisecond
	// initialLineBytes is the initial size of a line buffer.
	initialLineBytes = 512
	// maxPooledLineBytes is the size limit of line buffers that are reused.
	maxPooledLineBytes = 8 << 10
)

// Handler is an apex/log handler that writes JSON lines from a single goroutine.
// Callers encode lines into pooled buffers and queue them in a bounded ring. When
// the ring is full, the caller writes its line itself. This slows the caller down
// and may write the line before queued ones, but loses no line.
//
// The level can be changed at run time. For this, the level of the log.Logger must
// be log.DebugLevel, so that only the handler filters lines. A Handler is safe for
// concurrent use.
type Handler struct {
	level        atomic.Int32
	queue        *ring.Ring[*[]byte]
	queuedBytes  atomic.Int64
	buffers      sync.Pool
	writeMutex   sync.Mutex // Held during each write.
	w            io.Writer
	failedWrites atomic.Uint64
	dropWhenFull bool // Lines are dropped and counted while the ring is full.
	droppedLines atomic.Uint64
	writerDone   chan struct{} // Closed when the writer goroutine has ended.
}

// NewDroppingHandler returns a handler at level info that never blocks callers:
// lines are dropped and counted while the ring is full.
func NewDroppingHandler(w io.Writer) *Handler {
	h := buildHandler(w, ringCapacity)
	h.dropWhenFull = true
	go h.writeQueued()
	return h
}

// DroppedLines returns the number of lines that were dropped.
func (h *Handler) DroppedLines() uint64 { return h.droppedLines.Load() }

// NewHandler returns a handler at level info that writes to w. Close stops its
// writer goroutine.
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

// SetLevel sets the minimum level of written lines.
func (h *Handler) SetLevel(level log.Level) { h.level.Store(int32(level)) }

// Enabled reports whether lines of the level are written.
func (h *Handler) Enabled(level log.Level) bool { return int32(level) >= h.level.Load() }

// FailedWrites returns the number of writes that returned an error. Their lines are
// lost.
func (h *Handler) FailedWrites() uint64 { return h.failedWrites.Load() }

// Close writes all queued lines and stops the writer goroutine. Later lines are
// written by their callers or, by a handler that drops lines, dropped. Close must
// be called only once.
func (h *Handler) Close() error {
	h.queue.Close()
	<-h.writerDone
	return nil
}

// HandleLog encodes an entry in the format of apex/log's JSON handler and queues
// it.
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

// emit encodes an event and queues it. baseFields are encoded JSON members, each
// with a leading comma.
func (h *Handler) emit(e *Event, baseFields []byte, fields []Field) {
	line := h.acquireBuffer()
	b := append(*line, `{"fields":{`...)
	b = append(b, `"event":`...)
	b = strconv.AppendInt(b, int64(e.Number), 10)
	b = append(b, `,"name":"`...)
	b = append(b, e.Name...)
	b = append(b, '"')
	b = append(b, baseFields...)
	for i := range fields {
		b = fields[i].append(b)
	}
	*line = appendLineEnd(b, e.Level, time.Now(), e.Message)
	h.enqueue(line)
}

// appendLineEnd closes the fields object and appends the remaining members of a
// line.
func appendLineEnd(b []byte, level log.Level, timestamp time.Time, message string) []byte {
	b = append(b, `},"level":"`...)
	b = append(b, level.String()...)
	b = append(b, `","timestamp":"`...)
	b = timestamp.AppendFormat(b, time.RFC3339Nano)
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

// enqueue queues a line. If the ring is full or closed, it drops or writes the line,
// depending on dropWhenFull.
func (h *Handler) enqueue(line *[]byte) {
	length := int64(len(*line))
	if h.queuedBytes.Add(length) <= maxQueuedBytes && h.queue.TryPush(line) {
		return
	}
	h.queuedBytes.Add(-length)
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

// writeQueued writes queued lines in batches until the queue is closed and empty.
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

// appendLine appends a line to a batch and releases its buffer.
func (h *Handler) appendLine(batch []byte, line *[]byte) []byte {
	h.queuedBytes.Add(-int64(len(*line)))
	batch = append(batch, *line...)
	h.releaseBuffer(line)
	return batch
}
