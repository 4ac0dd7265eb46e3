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
	reconnectPause    = 100 * time.Millisecond
	// queueIdle is the time without a message after which a queue is closed.
	queueIdle = 30 * time.Second
	// resendFor is how long a release is sent again on a new connection. It is
	// the longest life of a grant; later the slot has expired.
	resendFor = 31 * time.Second
	maxResent = 1024
)

// Outbox sends notifications to other instances, in the order of sending for
// each instance. It is safe for concurrent use.
type Outbox struct {
	ctx     context.Context
	pool    *Pool
	address func(name string) (string, bool)

	mu     sync.Mutex
	queues map[string]*queue
}

type message struct {
	notification *peerpb.Notification
	undelivered  func()
}

type queue struct {
	messages *ring.Ring[message]
	used     time.Time
	releases []sentRelease // Owned by the queue's goroutine.
}

type sentRelease struct {
	notification *peerpb.Notification
	at           time.Time
}

// NewOutbox returns an outbox that works until ctx ends. Address returns the
// peer address (ip:port) of an instance.
func NewOutbox(ctx context.Context, pool *Pool, address func(name string) (string, bool)) *Outbox {
	return &Outbox{ctx: ctx, pool: pool, address: address, queues: map[string]*queue{}}
}

// Send queues a notification. Undelivered may be nil; it is called when the
// notification certainly was not delivered. A message is dropped when the queue
// is full.
func (o *Outbox) Send(to string, n *peerpb.Notification, undelivered func()) {
	if !o.queue(to).messages.TryPush(message{n, undelivered}) && undelivered != nil {
		go undelivered()
	}
}

func (o *Outbox) queue(to string) *queue {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	q, ok := o.queues[to]
	if !ok {
		q = &queue{messages: ring.New[message](maxQueuedMessages)}
		o.queues[to] = q
		go o.run(to, q)
		o.closeIdle(now)
	}
	q.used = now
	return q
}

func (o *Outbox) closeIdle(now time.Time) {
	for name, q := range o.queues {
		if !q.used.IsZero() && now.Sub(q.used) > queueIdle {
			q.messages.Close()
			delete(o.queues, name)
		}
	}
}

// run sends the messages of one queue over one stream at a time.
func (o *Outbox) run(to string, q *queue) {
	var s *stream
	defer func() { s.close() }()
	for {
		m, ok := q.messages.Pop(o.ctx)
		if !ok {
			return
		}
		if s == nil || s.broken() {
			s.close()
			s = o.open(to, q)
		}
		if s == nil {
			q.notDelivered(m)
			q.dropWaiting()
			continue
		}
		q.keep(m)
		if s.send(m.notification) != nil {
			s.close()
			s = nil
		}
	}
}

// notDelivered handles a message that was not written.
func (q *queue) notDelivered(m message) {
	if m.undelivered != nil {
		m.undelivered()
	}
	q.keep(m)
}

// dropWaiting empties the queue of an instance that cannot be reached, so that
// grants return at once, then waits before the next attempt.
func (q *queue) dropWaiting() {
	for q.messages.Len() > 0 {
		m, ok := q.messages.Pop(context.Background())
		if !ok {
			return
		}
		q.notDelivered(m)
	}
	time.Sleep(reconnectPause)
}

// keep remembers a release until its slot has expired.
func (q *queue) keep(m message) {
	if m.notification.GetRelease() == nil {
		return
	}
	now := time.Now()
	q.releases = append(q.releases, sentRelease{m.notification, now})
	for len(q.releases) > maxResent || now.Sub(q.releases[0].at) > resendFor {
		q.releases = q.releases[1:]
	}
}

type stream struct {
	conn   *drpcconn.Conn
	client peerpb.DRPCPeer_NotifyClient
}

// open connects and sends the releases again that may have been lost with the
// last connection. The receiver ignores those that it knows.
func (o *Outbox) open(to string, q *queue) *stream {
	address, ok := o.address(to)
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
	for _, r := range q.releases {
		if s.send(r.notification) != nil {
			s.close()
			return nil
		}
	}
	return s
}

func (s *stream) send(n *peerpb.Notification) error { return s.client.Send(n) }

func (s *stream) broken() bool {
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
