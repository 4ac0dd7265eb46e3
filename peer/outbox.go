package peer

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/jacinthstall/jacinthstall/peer/peerpb"
	"github.com/jacinthstall/jacinthstall/ring"
)

const (
	maxQueuedMessages = 4096
	reconnectDelay    = 100 * time.Millisecond
	// queueIdleTimeout is the time without a message after which a queue is closed.
	queueIdleTimeout = 30 * time.Second
	// resendPeriod is how long a release is sent again on a new connection. It is
	// the longest life of a grant; later the slot has expired.
	resendPeriod      = 31 * time.Second
	maxResentReleases = 1024
)

// Outbox sends notifications to other instances, in the order of sending for
// each instance. It is safe for concurrent use.
type Outbox struct {
	ctx       context.Context
	pool      *Pool
	addressOf func(name string) (string, bool)

	mu     sync.Mutex
	queues map[string]*peerQueue
}

type queuedMessage struct {
	notification *peerpb.Notification
	undelivered  func()
}

type peerQueue struct {
	messages     *ring.Ring[queuedMessage]
	lastUsed     time.Time
	sentReleases []sentRelease // Owned by the queue's goroutine.
}

type sentRelease struct {
	notification *peerpb.Notification
	sentAt       time.Time
}

// NewOutbox returns an outbox that works until ctx ends. Address returns the
// peer address (ip:port) of an instance.
func NewOutbox(ctx context.Context, pool *Pool, addressOf func(name string) (string, bool)) *Outbox {
	return &Outbox{ctx: ctx, pool: pool, addressOf: addressOf, queues: map[string]*peerQueue{}}
}

// Send queues a notification. Undelivered may be nil; it is called when the
// notification certainly was not delivered. A message is dropped when the queue
// is full.
func (outbox *Outbox) Send(to string, n *peerpb.Notification, undelivered func()) {
	if !outbox.queueFor(to).messages.TryPush(queuedMessage{n, undelivered}) && undelivered != nil {
		go undelivered()
	}
}

func (outbox *Outbox) queueFor(to string) *peerQueue {
	outbox.mu.Lock()
	defer outbox.mu.Unlock()
	now := time.Now()
	queue, ok := outbox.queues[to]
	if !ok {
		queue = &peerQueue{messages: ring.New[queuedMessage](maxQueuedMessages)}
		outbox.queues[to] = queue
		go outbox.runQueue(to, queue)
		outbox.closeIdleQueues(now)
	}
	queue.lastUsed = now
	return queue
}

func (outbox *Outbox) closeIdleQueues(now time.Time) {
	for name, queue := range outbox.queues {
		if !queue.lastUsed.IsZero() && now.Sub(queue.lastUsed) > queueIdleTimeout {
			queue.messages.Close()
			delete(outbox.queues, name)
		}
	}
}

// runQueue sends the messages of one queue over one stream at a time.
func (outbox *Outbox) runQueue(to string, queue *peerQueue) {
	var current *stream
	defer func() { current.close() }()
	for {
		message, ok := queue.messages.Pop(outbox.ctx)
		if !ok {
			return
		}
		if current == nil || current.isClosed() {
			current.close()
			current = outbox.openStream(to, queue)
		}
		if current == nil {
			queue.handleUndelivered(message)
			queue.discardQueued()
			continue
		}
		queue.recordRelease(message)
		if current.send(message.notification) != nil {
			current.close()
			current = nil
		}
	}
}

// handleUndelivered handles a message that was not written.
func (queue *peerQueue) handleUndelivered(message queuedMessage) {
	if message.undelivered != nil {
		message.undelivered()
	}
	queue.recordRelease(message)
}

// discardQueued empties the queue of an instance that cannot be reached, so that
// grants return at once, then waits before the next attempt.
func (queue *peerQueue) discardQueued() {
	for queue.messages.Len() > 0 {
		message, ok := queue.messages.Pop(context.Background())
		if !ok {
			return
		}
		queue.handleUndelivered(message)
	}
	time.Sleep(reconnectDelay)
}

// recordRelease remembers a release until its slot has expired.
func (queue *peerQueue) recordRelease(message queuedMessage) {
	if message.notification.GetRelease() == nil {
		return
	}
	now := time.Now()
	queue.sentReleases = append(queue.sentReleases, sentRelease{message.notification, now})
	for len(queue.sentReleases) > maxResentReleases || now.Sub(queue.sentReleases[0].sentAt) > resendPeriod {
		queue.sentReleases = queue.sentReleases[1:]
	}
}

type stream struct {
	conn   *drpcconn.Conn
	client peerpb.DRPCPeer_NotifyClient
}

// openStream connects and sends the releases again that may have been lost with the
// last connection. The receiver ignores those that it knows.
func (outbox *Outbox) openStream(to string, queue *peerQueue) *stream {
	address, ok := outbox.addressOf(to)
	if !ok {
		return nil
	}
	conn, err := outbox.pool.Dial(outbox.ctx, address)
	if err != nil {
		return nil
	}
	opened := &stream{conn: conn}
	opened.client, err = peerpb.NewDRPCPeerClient(conn).Notify(outbox.ctx)
	if err != nil {
		opened.close()
		return nil
	}
	for _, release := range queue.sentReleases {
		if opened.send(release.notification) != nil {
			opened.close()
			return nil
		}
	}
	return opened
}

func (s *stream) send(n *peerpb.Notification) error { return s.client.Send(n) }

func (s *stream) isClosed() bool {
	select {
	case <-s.conn.Closed():
		return true
	default:
		return false
	}
}

func (s *stream) close() {
	if s != nil {
		_ = s.conn.Close()
	}
}
