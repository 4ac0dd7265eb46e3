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
	testCapBytes = 1_000_000 // testCapMbit in bytes per second.
)

// linkClock is the clock that all links of a test share.
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
	var most, bytes int64
	for step := int64(0); step <= b.clock.millis.Load(); step++ {
		bytes += b.perMillisecond[step] - b.perMillisecond[step-1001]
		most = max(most, bytes)
	}
	return most
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

// lossyLenders randomly loses Borrow requests and responses.
type lossyLenders struct {
	lenderPeers
	mu     sync.Mutex
	random *rand.Rand
}

func (l *lossyLenders) borrow(ctx context.Context, name string, r *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	l.mu.Lock()
	draw := l.random.IntN(10)
	l.mu.Unlock()
	if draw < 2 {
		return nil, errors.New("request lost")
	}
	response, err := l.lenderPeers.borrow(ctx, name, r)
	if draw < 5 {
		return nil, errors.New("response lost")
	}
	return response, err
}

// linkedRegions has several instances in region "r", and one in region "far"
// that issues the keys of most tests.
type linkedRegions struct {
	clock     linkClock
	near      []*Instance
	far       *Instance
	outBytes  linkBytes // Written from "r" to "far".
	backBytes linkBytes
	mu        sync.Mutex
	shares    [][]float64 // By member table in use; the smallest share counts.
	responses atomic.Int64
}

func startLinkedRegions(t *testing.T, shares ...float64) *linkedRegions {
	t.Helper()
	regions := &linkedRegions{shares: [][]float64{shares}}
	regions.outBytes = linkBytes{clock: &regions.clock, perMillisecond: map[int64]int64{}}
	regions.backBytes = linkBytes{clock: &regions.clock, perMillisecond: map[int64]int64{}}
	target, _ := startCountingTarget(t)
	regions.far = startInstance(t, "far-1", target)
	regions.far.settings.Region, regions.far.linkLimiter.region = "far", "far"
	regions.use(regions.far, func() float64 { return 1 })
	for i := range shares {
		inst := startInstance(t, fmt.Sprintf("near-%d", i), target)
		regions.use(inst, func() float64 { return regions.share(i) })
		inst.peers = peer.NewPoolWithDial(regions.dial)
		regions.near = append(regions.near, inst)
	}
	connectPeersThrough(t, func(inst *Instance, l net.Listener) net.Listener {
		if inst == regions.far {
			return &countedListener{Listener: l, bytes: &regions.backBytes}
		}
		return l
	}, append([]*Instance{regions.far}, regions.near...)...)
	return regions
}

// use puts the link limiter of an instance under the test's clock.
func (regions *linkedRegions) use(inst *Instance, share func() float64) {
	inst.linkLimiter.now = regions.clock.now
	inst.linkLimiter.callLater = func(time.Duration, func()) {}
	inst.linkLimiter.setShareSource(share)
	document := *inst.document.Load()
	document.Links = []policy.Link{{From: "r", To: "far", CapMbit: testCapMbit}, {From: "far", To: "r", CapMbit: testCapMbit}}
	inst.document.Store(&document)
}

func (regions *linkedRegions) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil && address == regions.far.settings.PeerAddress {
		c = &countedConn{Conn: c, bytes: &regions.outBytes}
	}
	return c, err
}

func (regions *linkedRegions) share(i int) float64 {
	regions.mu.Lock()
	defer regions.mu.Unlock()
	share := regions.shares[0][i]
	for _, table := range regions.shares {
		share = min(share, table[i])
	}
	return share
}

// step advances the clock by 1 ms and the queues of all links.
func (regions *linkedRegions) step() {
	regions.clock.millis.Add(1)
	for _, inst := range append([]*Instance{regions.far}, regions.near...) {
		inst.linkLimiter.mu.Lock()
		now := inst.linkLimiter.refresh()
		for _, link := range inst.linkLimiter.outgoing {
			inst.linkLimiter.advance(now, link)
		}
		inst.linkLimiter.mu.Unlock()
	}
	time.Sleep(50 * time.Microsecond) // Lets the requests continue.
}

// finishTable drops the previous member table once all instances have settled.
func (regions *linkedRegions) finishTable() {
	for _, inst := range regions.near {
		if !inst.linkLimiter.settled() {
			return
		}
	}
	regions.mu.Lock()
	defer regions.mu.Unlock()
	regions.shares = regions.shares[len(regions.shares)-1:]
}

// changeTable sets random shares. The previous table counts until finishTable.
func (regions *linkedRegions) changeTable(random *rand.Rand) {
	regions.mu.Lock()
	defer regions.mu.Unlock()
	if len(regions.shares) > 1 {
		return
	}
	next, sum := make([]float64, len(regions.near)), 0.0
	for i := range next {
		next[i] = float64(random.IntN(4))
		sum += next[i]
	}
	for i := range next {
		next[i] /= max(sum, 1)
	}
	regions.shares = append(regions.shares, next)
}

// load sends requests with large bodies through an instance until ctx ends.
func (regions *linkedRegions) load(ctx context.Context, t *testing.T, i, worker int) {
	content := strings.Repeat("x", 100_000)
	for number := 0; ctx.Err() == nil; number++ {
		key := fmt.Sprintf("%s.%d-%d-%d", regions.far.keyPrefix(), i, worker, number)
		got := call(t, regions.near[i], "POST", "/writes/x", key, strings.NewReader(content))
		if got.err == nil && got.status == 201 {
			assert.Equal(t, content, got.body)
			regions.responses.Add(1)
		} else {
			time.Sleep(5 * time.Millisecond) // An instance without a share refuses immediately.
		}
	}
}

// run puts load on all instances until each link has carried the bytes.
func (regions *linkedRegions) run(t *testing.T, bytes int64, step func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for i := range regions.near {
		for worker := range 6 - 2*i {
			wait.Go(func() { regions.load(ctx, t, i, worker) })
		}
	}
	for regions.outBytes.sum() < bytes || regions.backBytes.sum() < bytes {
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

// Requirement R1 over sockets: in any window of 1 s and in either direction, a
// link must not carry more bytes than its cap, while several instances relay at
// the same time, shares change, and Borrow requests and responses are lost.
func TestLinkStaysUnderItsCap(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			regions := startLinkedRegions(t, 0.25, 0.25, 0.5)
			random := rand.New(rand.NewPCG(seed, 1))
			for i, inst := range regions.near {
				inst.linkLimiter.lenders = &lossyLenders{lenderPeers: inst.linkLimiter.lenders, random: rand.New(rand.NewPCG(seed, uint64(i)))}
			}
			regions.run(t, 3*testCapBytes, func() {
				regions.step()
				switch at := regions.clock.millis.Load(); {
				case at%1500 == 0:
					regions.changeTable(random)
				case at%100 == 0:
					regions.finishTable()
				}
			})
			assert.LessOrEqual(t, regions.outBytes.maxPerSecond(), int64(testCapBytes))
			assert.LessOrEqual(t, regions.backBytes.maxPerSecond(), int64(testCapBytes))
			assert.Positive(t, regions.responses.Load())
			t.Logf("virtual ms %d, most per second out %d and back %d, responses %d",
				regions.clock.millis.Load(), regions.outBytes.maxPerSecond(), regions.backBytes.maxPerSecond(), regions.responses.Load())
		})
	}
}

// Without the limiter, the same load must exceed the cap. Otherwise the byte
// counters of the test would be missing traffic.
func TestLinkExceedsItsCapWithoutTokens(t *testing.T) {
	regions := startLinkedRegions(t, 0.25, 0.25, 0.5)
	for _, inst := range append([]*Instance{regions.far}, regions.near...) {
		inst.linkLimiter.disabled = true
	}
	regions.run(t, 3*testCapBytes, func() { time.Sleep(time.Millisecond) })
	assert.Greater(t, regions.outBytes.maxPerSecond(), int64(testCapBytes))
	assert.Greater(t, regions.backBytes.maxPerSecond(), int64(testCapBytes))
}

// Nothing may be written to another region without a share, a link or a known
// region. A request with a key must then be reported as "unknown", not as "not
// executed", because it may have been sent before.
func TestNothingCrossesWithoutAShare(t *testing.T) {
	for name, change := range map[string]func(*linkedRegions){
		"no share set": func(regions *linkedRegions) { regions.near[0].linkLimiter.setShareSource(nil) },
		"share 0":      func(regions *linkedRegions) { regions.near[0].linkLimiter.setShareSource(func() float64 { return 0 }) },
		"no link": func(regions *linkedRegions) {
			document := *regions.near[0].document.Load()
			document.Links = nil
			regions.near[0].document.Store(&document)
		},
	} {
		t.Run(name, func(t *testing.T) {
			regions := startLinkedRegions(t, 1)
			change(regions)
			logged := logEvents(regions.near...)
			got := call(t, regions.near[0], "POST", "/writes/x", regions.far.keyPrefix()+".k", strings.NewReader("x"))
			assert.Equal(t, "503 link-cap unknown", got.String())
			keyless := &incomingRequest{header: nil, deadline: time.Now().Add(time.Minute), arrived: time.Now()}
			response := regions.near[0].relay(context.Background(), keyless, "far-1")
			assert.Equal(t, linkCapRefusal("no"), response.Outcome)
			assert.Zero(t, regions.outBytes.sum())
			assert.Len(t, logged(events.LinkRefused.Number), 2)
		})
	}
}

// A response must not be written to another region when the responding instance
// has no share of the link, and the caller must be told the correct outcome.
func TestResponseIsRefusedByReturnLink(t *testing.T) {
	regions := startLinkedRegions(t, 1)
	for range 100 {
		regions.step()
	}
	regions.far.linkLimiter.setShareSource(nil)
	got := call(t, regions.near[0], "POST", "/writes/x", regions.far.keyPrefix()+".k", strings.NewReader("x"))
	assert.Equal(t, "503 link-cap unknown", got.String())
	assert.Less(t, regions.backBytes.sum(), int64(streamOverheadBytes))
}

// A move must not exceed its own cap even when the link has capacity left.
func TestMoveIsLimitedByItsOwnBucket(t *testing.T) {
	regions := startLinkedRegions(t, 1)
	inst := regions.near[0]
	document := *inst.document.Load()
	move := policy.Move{Service: "writes", From: "r", To: "far", Percent: 50, CapMbit: 1}
	document.Moves = []policy.Move{move}
	inst.document.Store(&document)
	burst := dataCap(1) * 5 / 100
	for range 1000 {
		regions.step()
	}
	require.Equal(t, burst, inst.linkLimiter.maxFrameBytes("far", move.Key()))
	_, err := inst.linkLimiter.acquire(context.Background(), "far", move.Key(), burst, 0)
	require.NoError(t, err)
	var refusal *linkcap.RefusalError
	_, err = inst.linkLimiter.acquire(context.Background(), "far", move.Key(), burst, 0)
	require.ErrorAs(t, err, &refusal)
	assert.Equal(t, linkcap.WaitTooLong, refusal.Reason)
	_, err = inst.linkLimiter.acquire(context.Background(), "far", "", burst, 0)
	assert.NoError(t, err, "the link has room for other traffic")
	_, err = inst.linkLimiter.acquire(context.Background(), "far", "writes:r>gone", 1, 0)
	require.ErrorAs(t, err, &refusal)
	assert.Equal(t, reasonNoLink, refusal.Reason)
}

// An instance that needs more rate must borrow the unused rate of a peer. An
// instance must not lend to an instance of another region.
func TestBorrowBetweenInstances(t *testing.T) {
	regions := startLinkedRegions(t, 0.5, 0.5)
	borrower, lender := regions.near[0].linkLimiter, regions.near[1].linkLimiter
	logged := logEvents(regions.near...)
	for range 100 {
		regions.step()
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
	assert.Equal(t, regions.near[0].settings.Name, lent[0]["peer"])
	if assert.Len(t, loan, 1) {
		assert.Equal(t, regions.near[1].settings.Name, loan[0]["peer"])
		assert.Equal(t, lent[0]["bytesPerSecond"], loan[0]["bytesPerSecond"])
	}
	for range 1000 {
		regions.clock.millis.Add(1)
	}
	assert.Equal(t, before, rate(lender))
	assert.LessOrEqual(t, rate(borrower), before)

	foreign, err := (&peerServer{instance: regions.near[1]}).Borrow(ctx, &peerpb.BorrowRequest{Requester: "far-1", FromRegion: "r", ToRegion: "far", BytesPerSecond: 1000})
	require.NoError(t, err)
	assert.Zero(t, foreign.BytesPerSecond)
	cancel()
}

// Each change of a link's share must be logged once, and not with each use of
// the link.
func TestShareChangesAreLogged(t *testing.T) {
	regions := startLinkedRegions(t, 0.5)
	logged := logEvents(regions.near...)
	for range 10 {
		regions.step()
	}
	regions.shares = [][]float64{{0.25}}
	for range 10 {
		regions.step()
	}
	var rates []any
	for _, fields := range logged(events.LinkShareChanged.Number) {
		rates = append(rates, fields["bytesPerSecond"])
	}
	assert.Equal(t, []any{int64(490_000), int64(245_000)}, rates)
}

// logEvents returns a function that returns the fields of the events with a
// number that the link limiters of the instances emit from now on.
func logEvents(instances ...*Instance) func(number int) []log.Fields {
	handler := memory.New()
	var mu sync.Mutex
	lockedHandler := log.HandlerFunc(func(e *log.Entry) error {
		mu.Lock()
		defer mu.Unlock()
		return handler.HandleLog(e)
	})
	eventLog := events.New(&log.Logger{Handler: lockedHandler, Level: log.DebugLevel})
	for _, inst := range instances {
		inst.linkLimiter.mu.Lock()
		inst.linkLimiter.events = eventLog
		inst.linkLimiter.mu.Unlock()
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

// The records that a stopping instance hands over to another region must count
// against the link cap.
func TestHandOverToAnotherRegionTakesTokens(t *testing.T) {
	for share, handedOver := range map[float64]bool{0: false, 1: true} {
		regions := startLinkedRegions(t, share)
		inst := regions.near[0]
		key := inst.keyPrefix() + ".k"
		body := strings.Repeat("y", 4000)
		require.Equal(t, "201 answered yes", call(t, inst, "POST", "/writes/x", key, strings.NewReader(body)).String())
		for range 100 {
			regions.step()
		}
		inst.handOver(context.Background())
		got := call(t, regions.far, "POST", "/writes/x", key, strings.NewReader(body))
		if handedOver {
			assert.Equal(t, "201 answered yes", got.String())
			assert.Greater(t, regions.outBytes.sum(), int64(len(body)))
		} else {
			assert.NotEqual(t, "201 answered yes", got.String())
			assert.Less(t, regions.outBytes.sum(), int64(len(body)))
		}
	}
}

// The data part and the control part of a cap together must not exceed the cap.
func TestDataAndControlAreWithinTheCap(t *testing.T) {
	for _, megabits := range []int{1, 280, 4000} {
		total := linkcap.BytesPerSecond(megabits)
		assert.Equal(t, total, dataCap(megabits)+total*controlPercent/100)
	}
}
