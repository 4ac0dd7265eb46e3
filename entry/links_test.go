package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/linkcap"
	"github.com/jacinthstall/jacinthstall/peer"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
	"github.com/jacinthstall/jacinthstall/policy"
)

const (
	testCapMbit  = 8
	testCapBytes = 1_000_000 // Bytes per second of testCapMbit.
)

// linkClock is the clock of all links of a test.
type linkClock struct{ millis atomic.Int64 }

func (c *linkClock) now() time.Time { return time.UnixMilli(1_700_000_000_000 + c.millis.Load()) }

// linkBytes counts the bytes written to one link in each millisecond.
type linkBytes struct {
	mu             sync.Mutex
	clock          *linkClock
	perMillisecond map[int64]int64
	total          int64
}

func (b *linkBytes) add(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.perMillisecond[b.clock.millis.Load()] += int64(n)
	b.total += int64(n)
}

func (b *linkBytes) sum() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// maxPerSecond returns the most bytes in any closed window of 1 s.
func (b *linkBytes) maxPerSecond() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var worst, bytes int64
	for step := int64(0); step <= b.clock.millis.Load(); step++ {
		bytes += b.perMillisecond[step] - b.perMillisecond[step-1001]
		worst = max(worst, bytes)
	}
	return worst
}

type countedConn struct {
	net.Conn
	bytes *linkBytes
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.bytes.add(len(p))
	return c.Conn.Write(p)
}

type countedListener struct {
	net.Listener
	bytes *linkBytes
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, bytes: l.bytes}, nil
}

// lossyLenders loses Borrow requests and answers.
type lossyLenders struct {
	lenderPeers
	mu     sync.Mutex
	random *rand.Rand
}

func (l *lossyLenders) borrow(ctx context.Context, name string, r *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	l.mu.Lock()
	fate := l.random.IntN(10)
	l.mu.Unlock()
	if fate < 2 {
		return nil, errors.New("request lost")
	}
	answer, err := l.lenderPeers.borrow(ctx, name, r)
	if fate < 5 {
		return nil, errors.New("answer lost")
	}
	return answer, err
}

// linkedRegions has several instances in region "r" and one in "far" that is the
// authority of all keys.
type linkedRegions struct {
	clock     linkClock
	near      []*Instance
	far       *Instance
	outBytes  linkBytes // From "r" to "far".
	backBytes linkBytes
	mu        sync.Mutex
	shares    [][]float64 // Of the tables in use; the smallest one counts.
	responses atomic.Int64
}

func startLinkedRegions(t *testing.T, shares ...float64) *linkedRegions {
	t.Helper()
	w := &linkedRegions{shares: [][]float64{shares}}
	w.outBytes = linkBytes{clock: &w.clock, perMillisecond: map[int64]int64{}}
	w.backBytes = linkBytes{clock: &w.clock, perMillisecond: map[int64]int64{}}
	target, _ := startCountingTarget(t)
	w.far = startInstance(t, "far-1", target)
	w.far.settings.Region, w.far.linkLimiter.region = "far", "far"
	w.use(w.far, func() float64 { return 1 })
	for i := range shares {
		in := startInstance(t, fmt.Sprintf("near-%d", i), target)
		w.use(in, func() float64 { return w.share(i) })
		in.peers = peer.NewPoolWithDial(w.dial)
		w.near = append(w.near, in)
	}
	connectPeersThrough(t, func(in *Instance, l net.Listener) net.Listener {
		if in == w.far {
			return &countedListener{Listener: l, bytes: &w.backBytes}
		}
		return l
	}, append([]*Instance{w.far}, w.near...)...)
	return w
}

// use puts the links of an instance under the test's clock.
func (w *linkedRegions) use(in *Instance, share func() float64) {
	in.linkLimiter.now = w.clock.now
	in.linkLimiter.callLater = func(time.Duration, func()) {}
	in.linkLimiter.setShareSource(share)
	d := *in.document.Load()
	d.Links = []policy.Link{{From: "r", To: "far", CapMbit: testCapMbit}, {From: "far", To: "r", CapMbit: testCapMbit}}
	in.document.Store(&d)
}

func (w *linkedRegions) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil && address == w.far.settings.PeerAddress {
		c = &countedConn{Conn: c, bytes: &w.outBytes}
	}
	return c, err
}

func (w *linkedRegions) share(i int) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	share := w.shares[0][i]
	for _, table := range w.shares {
		share = min(share, table[i])
	}
	return share
}

// step moves the clock by 1 ms and hands out grants.
func (w *linkedRegions) step() {
	w.clock.millis.Add(1)
	for _, in := range append([]*Instance{w.far}, w.near...) {
		in.linkLimiter.mu.Lock()
		now := in.linkLimiter.refresh()
		for _, o := range in.linkLimiter.outgoing {
			in.linkLimiter.advance(now, o)
		}
		in.linkLimiter.mu.Unlock()
	}
	time.Sleep(50 * time.Microsecond) // Lets the requests go on.
}

// finishTable drops the former table once all instances have settled.
func (w *linkedRegions) finishTable() {
	for _, in := range w.near {
		if !in.linkLimiter.settled() {
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shares = w.shares[len(w.shares)-1:]
}

// changeTable replaces the shares at random. The former table counts until
// finishTable.
func (w *linkedRegions) changeTable(random *rand.Rand) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.shares) > 1 {
		return
	}
	next, sum := make([]float64, len(w.near)), 0.0
	for i := range next {
		next[i] = float64(random.IntN(4))
		sum += next[i]
	}
	for i := range next {
		next[i] /= max(sum, 1)
	}
	w.shares = append(w.shares, next)
}

// load sends requests with large bodies through an instance until ctx ends.
func (w *linkedRegions) load(ctx context.Context, t *testing.T, i, worker int) {
	content := strings.Repeat("x", 100_000)
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("%s.%d-%d-%d", w.far.keyPrefix(), i, worker, n)
		got := call(t, w.near[i], "POST", "/writes/x", key, strings.NewReader(content))
		if got.err == nil && got.status == 201 {
			assert.Equal(t, content, got.body)
			w.responses.Add(1)
		} else {
			time.Sleep(5 * time.Millisecond) // An instance without a share refuses at once.
		}
	}
}

// run loads all instances until each link has carried the bytes.
func (w *linkedRegions) run(t *testing.T, bytes int64, step func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for i := range w.near {
		for worker := range 6 - 2*i {
			wait.Go(func() { w.load(ctx, t, i, worker) })
		}
	}
	for w.outBytes.sum() < bytes || w.backBytes.sum() < bytes {
		step()
	}
	cancel()
	ended := make(chan struct{})
	go func() { wait.Wait(); close(ended) }()
	for {
		select {
		case <-ended:
			return
		default:
			step()
		}
	}
}

// Requirement R1 over sockets: guards against more bytes than the cap in any
// window of 1 s, in either direction, while instances relay at once, shares
// change and Borrow requests and answers are lost.
func TestLinkStaysUnderItsCap(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := startLinkedRegions(t, 0.25, 0.25, 0.5)
			random := rand.New(rand.NewPCG(seed, 1))
			for i, in := range w.near {
				in.linkLimiter.lenders = &lossyLenders{lenderPeers: in.linkLimiter.lenders, random: rand.New(rand.NewPCG(seed, uint64(i)))}
			}
			w.run(t, 3*testCapBytes, func() {
				w.step()
				switch at := w.clock.millis.Load(); {
				case at%1500 == 0:
					w.changeTable(random)
				case at%100 == 0:
					w.finishTable()
				}
			})
			assert.LessOrEqual(t, w.outBytes.maxPerSecond(), int64(testCapBytes))
			assert.LessOrEqual(t, w.backBytes.maxPerSecond(), int64(testCapBytes))
			assert.Positive(t, w.responses.Load())
			t.Logf("virtual ms %d, worst out %d, worst back %d, answers %d", w.clock.millis.Load(), w.outBytes.maxPerSecond(), w.backBytes.maxPerSecond(), w.responses.Load())
		})
	}
}

// The same load without the mechanism exceeds the cap: guards against a count
// that misses the bytes.
func TestLinkExceedsItsCapWithoutTokens(t *testing.T) {
	w := startLinkedRegions(t, 0.25, 0.25, 0.5)
	for _, in := range append([]*Instance{w.far}, w.near...) {
		in.linkLimiter.disabled = true
	}
	w.run(t, 3*testCapBytes, func() { time.Sleep(time.Millisecond) })
	assert.Greater(t, w.outBytes.maxPerSecond(), int64(testCapBytes))
	assert.Greater(t, w.backBytes.maxPerSecond(), int64(testCapBytes))
}

// Guards against traffic to another region without a share, a link or a known
// region, and against "not executed" for a key that may have been sent before.
func TestNothingCrossesWithoutAShare(t *testing.T) {
	for name, change := range map[string]func(*linkedRegions){
		"no share set": func(w *linkedRegions) { w.near[0].linkLimiter.setShareSource(nil) },
		"share 0":      func(w *linkedRegions) { w.near[0].linkLimiter.setShareSource(func() float64 { return 0 }) },
		"no link": func(w *linkedRegions) {
			d := *w.near[0].document.Load()
			d.Links = nil
			w.near[0].document.Store(&d)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := startLinkedRegions(t, 1)
			change(w)
			logged := logEvents(w.near...)
			got := call(t, w.near[0], "POST", "/writes/x", w.far.keyPrefix()+".k", strings.NewReader("x"))
			assert.Equal(t, "503 link-cap unknown", got.String())
			keyless := &incomingRequest{header: nil, deadline: time.Now().Add(time.Minute), arrived: time.Now()}
			reply := w.near[0].relay(context.Background(), keyless, "far-1")
			assert.Equal(t, linkCapRefusal("no"), reply.Outcome)
			assert.Zero(t, w.outBytes.sum())
			assert.Len(t, logged(events.LinkRefused.Number), 2)
		})
	}
}

// Guards against an answer that crosses without tokens of the answering side,
// and against a wrong report to the caller.
func TestResponseIsRefusedByReturnLink(t *testing.T) {
	w := startLinkedRegions(t, 1)
	for range 100 {
		w.step()
	}
	w.far.linkLimiter.setShareSource(nil)
	got := call(t, w.near[0], "POST", "/writes/x", w.far.keyPrefix()+".k", strings.NewReader("x"))
	assert.Equal(t, "503 link-cap unknown", got.String())
	assert.Less(t, w.backBytes.sum(), int64(streamOverheadBytes))
}

// Guards against a move that exceeds its own cap while its link has room.
func TestMoveIsLimitedByItsOwnBucket(t *testing.T) {
	w := startLinkedRegions(t, 1)
	in := w.near[0]
	d := *in.document.Load()
	m := policy.Move{Service: "writes", From: "r", To: "far", Percent: 50, CapMbit: 1}
	d.Moves = []policy.Move{m}
	in.document.Store(&d)
	burst := dataCap(1) * 5 / 100
	for range 1000 {
		w.step()
	}
	require.Equal(t, burst, in.linkLimiter.maxFrameBytes("far", m.Key()))
	_, err := in.linkLimiter.acquire(context.Background(), "far", m.Key(), burst, 0)
	require.NoError(t, err)
	var refusal *linkcap.RefusalError
	_, err = in.linkLimiter.acquire(context.Background(), "far", m.Key(), burst, 0)
	require.ErrorAs(t, err, &refusal)
	assert.Equal(t, linkcap.WaitTooLong, refusal.Reason)
	_, err = in.linkLimiter.acquire(context.Background(), "far", "", burst, 0)
	assert.NoError(t, err, "the link has room for other traffic")
	_, err = in.linkLimiter.acquire(context.Background(), "far", "writes:r>gone", 1, 0)
	require.ErrorAs(t, err, &refusal)
	assert.Equal(t, reasonNoLink, refusal.Reason)
}

// Guards against an instance that does not borrow what a peer has to spare, and
// against a loan to an instance of another region.
func TestBorrowBetweenInstances(t *testing.T) {
	w := startLinkedRegions(t, 0.5, 0.5)
	borrower, lender := w.near[0].linkLimiter, w.near[1].linkLimiter
	logged := logEvents(w.near...)
	for range 100 {
		w.step()
	}
	rate := func(l *linkLimiter) int64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.outgoing["far"].rateLimit.Rate(l.refresh())
	}
	before := rate(borrower)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 2 {
		go func() { _, _ = borrower.acquire(ctx, "far", "", 20_000, time.Minute) }()
	}
	require.Eventually(t, func() bool { return rate(borrower) > before }, waitTimeout, time.Millisecond)
	assert.Equal(t, 2*before, rate(borrower)+rate(lender))
	lent, loan := logged(events.LinkRateLent.Number), logged(events.LinkRateBorrowed.Number)
	require.Len(t, lent, 1)
	assert.Equal(t, w.near[0].settings.Name, lent[0]["peer"])
	if assert.Len(t, loan, 1) {
		assert.Equal(t, w.near[1].settings.Name, loan[0]["peer"])
		assert.Equal(t, lent[0]["bytesPerSecond"], loan[0]["bytesPerSecond"])
	}
	for range 1000 {
		w.clock.millis.Add(1)
	}
	assert.Equal(t, before, rate(lender))
	assert.LessOrEqual(t, rate(borrower), before)

	foreign, err := (&peerServer{instance: w.near[1]}).Borrow(ctx, &peerpb.BorrowRequest{Requester: "far-1", FromRegion: "r", ToRegion: "far", BytesPerSecond: 1000})
	require.NoError(t, err)
	assert.Zero(t, foreign.BytesPerSecond)
	cancel()
}

// Guards against a change of the share that is not logged, or logged each time
// that a link is used.
func TestShareChangesAreLogged(t *testing.T) {
	w := startLinkedRegions(t, 0.5)
	logged := logEvents(w.near...)
	for range 10 {
		w.step()
	}
	w.shares = [][]float64{{0.25}}
	for range 10 {
		w.step()
	}
	var rates []any
	for _, fields := range logged(events.LinkShareChanged.Number) {
		rates = append(rates, fields["bytesPerSecond"])
	}
	assert.Equal(t, []any{int64(490_000), int64(245_000)}, rates)
}

// logEvents returns a function that returns the fields of the events that the
// links of the instances emit from now on, by number.
func logEvents(instances ...*Instance) func(number int) []log.Fields {
	handler := memory.New()
	var mu sync.Mutex
	safe := log.HandlerFunc(func(e *log.Entry) error {
		mu.Lock()
		defer mu.Unlock()
		return handler.HandleLog(e)
	})
	emitted := events.New(&log.Logger{Handler: safe, Level: log.DebugLevel})
	for _, in := range instances {
		in.linkLimiter.mu.Lock()
		in.linkLimiter.events = emitted
		in.linkLimiter.mu.Unlock()
	}
	return func(number int) []log.Fields {
		mu.Lock()
		defer mu.Unlock()
		var list []log.Fields
		for _, e := range handler.Entries {
			if e.Fields["event"] == number {
				list = append(list, e.Fields)
			}
		}
		return list
	}
}

// Guards against records of a stopping instance that cross without tokens.
func TestHandOverToAnotherRegionTakesTokens(t *testing.T) {
	for share, handedOver := range map[float64]bool{0: false, 1: true} {
		w := startLinkedRegions(t, share)
		in := w.near[0]
		key := in.keyPrefix() + ".k"
		body := strings.Repeat("y", 4000)
		require.Equal(t, "201 answered yes", call(t, in, "POST", "/writes/x", key, strings.NewReader(body)).String())
		for range 100 {
			w.step()
		}
		in.handOver(context.Background())
		got := call(t, w.far, "POST", "/writes/x", key, strings.NewReader(body))
		if handedOver {
			assert.Equal(t, "201 answered yes", got.String())
			assert.Greater(t, w.outBytes.sum(), int64(len(body)))
		} else {
			assert.NotEqual(t, "201 answered yes", got.String())
			assert.Less(t, w.outBytes.sum(), int64(len(body)))
		}
	}
}

// Guards against a share of the data and the control part that together exceed
// the cap.
func TestDataAndControlAreWithinTheCap(t *testing.T) {
	for _, megabits := range []int{1, 280, 4000} {
		whole := linkcap.BytesPerSecond(megabits)
		assert.Equal(t, whole, dataCap(megabits)+whole*controlPercent/100)
	}
}
