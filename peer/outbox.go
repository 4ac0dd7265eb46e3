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
	// queueIdleTimeout is the time without a new message after which a queue is
	// closed.
	queueIdleTimeout = 30 * time.Second
	// resendPeriod is the time during which a release is sent again on each new
	// connection. It is the maximum lifetime of a grant, after which the slot has
	// expired.
	resendPeriod      = 31 * time.Second
	maxResentReleases = 1024
)

// Outbox sends notifications to peers asynchronously. The notifications to a peer
// are sent in the order of the calls to Send. It is safe for concurrent use.
type Outbox struct {
	ctx       context.Context
	pool      *Pool
	addressOf func(name string) (string, bool)

	mu     sync.Mutex
	queues map[string]*peerQueue
}

type queuedMessage struct {
	notification *peerpb.Notification
	undelivered  func() // Called if the notification was not sent; may be nil.
}

// peerQueue holds the notifications to one peer.
type peerQueue struct {
	messages     *ring.Ring[queuedMessage]
	lastUsed     time.Time
	sentReleases []sentRelease // Accessed only by runQueue, oldest first.
}

// sentRelease is a release that is sent again on new connections.
type sentRelease struct {
	notification *peerpb.Notification
	sentAt       time.Time
}

// NewOutbox returns an outbox that sends until ctx is done. AddressOf returns the
// peer address (ip:port) of an instance.
func NewOutbox(ctx context.Context, pool *Pool, addressOf func(name string) (string, bool)) *Outbox {
	return &Outbox{ctx: ctx, pool: pool, addressOf: addressOf, queues: map[string]*peerQueue{}}
}

// Send queues a notification. If the queue is full, the notification is dropped.
// Undelivered is called if the notification was certainly not delivered; it may
// be nil.
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

// runQueue sends the messages of one queue, using one stream at a time.
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

// handleUndelivered processes a message that was not written to a stream.
func (queue *peerQueue) handleUndelivered(message queuedMessage) {
	if message.undelivered != nil {
		message.undelivered()
	}
	queue.recordRelease(message)
}

// discardQueued empties the queue of a peer that cannot be reached, so that its
// grants are returned without delay. It then waits before the next attempt to
// connect.
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

// recordRelease keeps a release, if the message is one, until its slot has
// expired.
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

// stream is a notification stream to a peer with its connection.
type stream struct {
	conn   *drpcconn.Conn
	client peerpb.DRPCPeer_NotifyClient
}

// openStream connects to a peer and resends the releases that may have been lost
// with the previous connection. The peer ignores releases that it has already
// received. It returns nil if the peer cannot be reached.
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
