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
func NewOutbox(ctx context.Context, pool *Pool, address func(name string) (string, bool)) *Outbox {
	return &Outbox{ctx: ctx, pool: pool, addressOf: address, queues: map[string]*peerQueue{}}
}

// Send queues a notification. Undelivered may be nil; it is called when the
// notification certainly was not delivered. A message is dropped when the queue
// is full.
func (o *Outbox) Send(to string, n *peerpb.Notification, undelivered func()) {
	if !o.queueFor(to).messages.TryPush(queuedMessage{n, undelivered}) && undelivered != nil {
		go undelivered()
	}
}

func (o *Outbox) queueFor(to string) *peerQueue {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	q, ok := o.queues[to]
	if !ok {
		q = &peerQueue{messages: ring.New[queuedMessage](maxQueuedMessages)}
		o.queues[to] = q
		go o.runQueue(to, q)
		o.closeIdleQueues(now)
	}
	q.lastUsed = now
	return q
}

func (o *Outbox) closeIdleQueues(now time.Time) {
	for name, q := range o.queues {
		if !q.lastUsed.IsZero() && now.Sub(q.lastUsed) > queueIdleTimeout {
			q.messages.Close()
			delete(o.queues, name)
		}
	}
}

// runQueue sends the messages of one queue over one stream at a time.
func (o *Outbox) runQueue(to string, q *peerQueue) {
	var s *stream
	defer func() { s.close() }()
	for {
		m, ok := q.messages.Pop(o.ctx)
		if !ok {
			return
		}
		if s == nil || s.isClosed() {
			s.close()
			s = o.openStream(to, q)
		}
		if s == nil {
			q.handleUndelivered(m)
			q.discardQueued()
			continue
		}
		q.recordRelease(m)
		if s.send(m.notification) != nil {
			s.close()
			s = nil
		}
	}
}

// handleUndelivered handles a message that was not written.
func (q *peerQueue) handleUndelivered(m queuedMessage) {
	if m.undelivered != nil {
		m.undelivered()
	}
	q.recordRelease(m)
}

// discardQueued empties the queue of an instance that cannot be reached, so that
// grants return at once, then waits before the next attempt.
func (q *peerQueue) discardQueued() {
	for q.messages.Len() > 0 {
		m, ok := q.messages.Pop(context.Background())
		if !ok {
			return
		}
		q.handleUndelivered(m)
	}
	time.Sleep(reconnectDelay)
}

// recordRelease remembers a release until its slot has expired.
func (q *peerQueue) recordRelease(m queuedMessage) {
	if m.notification.GetRelease() == nil {
		return
	}
	now := time.Now()
	q.sentReleases = append(q.sentReleases, sentRelease{m.notification, now})
	for len(q.sentReleases) > maxResentReleases || now.Sub(q.sentReleases[0].sentAt) > resendPeriod {
		q.sentReleases = q.sentReleases[1:]
	}
}

type stream struct {
	conn   *drpcconn.Conn
	client peerpb.DRPCPeer_NotifyClient
}

// openStream connects and sends the releases again that may have been lost with the
// last connection. The receiver ignores those that it knows.
func (o *Outbox) openStream(to string, q *peerQueue) *stream {
	address, ok := o.addressOf(to)
	if !ok {
		return nil
	}
	conn, err := o.pool.Dial(o.ctx, address)
	if err != nil {
		return nil
	}
	s := &stream{conn: conn}
	s.client, err = peerpb.NewDRPCPeerClient(conn).Notify(o.ctx)
	if err != nil {
		s.close()
		return nil
	}
	for _, r := range q.sentReleases {
		if s.send(r.notification) != nil {
			s.close()
			return nil
		}
	}
	return s
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
