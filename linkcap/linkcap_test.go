package linkcap

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	tick    = time.Millisecond
	testCap = int64(35_000_000) // 280 Mbit/s, the cap of Reelstep's links.
)

var epoch = time.Unix(1_700_000_000, 0)

// scheduledCall is the delivery of a message to a holder, or the completion of a
// write.
type scheduledCall struct {
	to   int // Index of the holder.
	call func()
}

// holder is one instance with its link, in simulated time.
type holder struct {
	link         *Link
	active       bool
	pausedUntil  int // Step at which the holder resumes.
	version      int // Latest member table that the holder has received.
	ackedVersion int // Latest member table that the holder has acknowledged.
}

// simulation runs all holders of a link in steps of one tick and records the
// bytes written in each step.
type simulation struct {
	random            *rand.Rand
	step              int
	holders           []*holder
	scheduled         map[int][]scheduledCall // By the step at which they are due.
	writtenByStep     []int64
	sharesByVersion   [][]int64 // By member table version and holder.
	lossPercent       int
	partitioned       func(from, to int) bool
	maxDelay          int // Maximum delay of a message, in steps.
	lending           bool
	keepSmallerShares bool // Holders use their smallest share until all have acknowledged the latest table.
}

func newSimulation(seed uint64, holders int) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 7)), partitioned: func(int, int) bool { return false }, lending: true, keepSmallerShares: true, maxDelay: 30,
		scheduled: map[int][]scheduledCall{}}
	equal := make([]int64, holders)
	for i := range holders {
		equal[i] = testCap / int64(holders)
		sim.holders = append(sim.holders, &holder{link: NewLink(epoch, equal[i]), active: true})
	}
	sim.sharesByVersion = [][]int64{equal}
	return sim
}

func (sim *simulation) now() time.Time { return epoch.Add(time.Duration(sim.step) * tick) }

func (sim *simulation) run(steps int) {
	for range steps {
		sim.step++
		sim.writtenByStep = append(sim.writtenByStep, 0)
		sim.runDueCalls()
		for _, i := range sim.random.Perm(len(sim.holders)) {
			if sim.holders[i].pausedUntil <= sim.step {
				sim.applyShares(i)
				sim.useLink(i)
			}
		}
	}
}

// runDueCalls runs the calls that are due. Calls to a paused holder are postponed
// until it resumes.
func (sim *simulation) runDueCalls() {
	due := sim.scheduled[sim.step]
	delete(sim.scheduled, sim.step)
	for _, pending := range due {
		if until := sim.holders[pending.to].pausedUntil; until > sim.step {
			sim.scheduled[until] = append(sim.scheduled[until], pending)
			continue
		}
		pending.call()
	}
}

// schedule runs call at a holder after at least one step.
func (sim *simulation) schedule(steps, to int, call func()) {
	due := sim.step + max(steps, 1)
	sim.scheduled[due] = append(sim.scheduled[due], scheduledCall{to: to, call: call})
}

func (sim *simulation) send(from, to int, call func()) {
	if sim.random.IntN(100) < sim.lossPercent || sim.partitioned(from, to) {
		return
	}
	sim.schedule(1+sim.random.IntN(sim.maxDelay), to, call)
}

// useLink takes as many bytes as the bucket permits and writes them up to 5 ms
// later, or after a pause that begins in between.
func (sim *simulation) useLink(i int) {
	h := sim.holders[i]
	if !h.active {
		return
	}
	for range 64 {
		size := min(1+sim.random.Int64N(32<<10), h.link.Burst())
		if size == 0 || !h.link.Take(sim.now(), size) {
			break
		}
		sim.schedule(sim.random.IntN(6), i, func() {
			sim.writtenByStep[sim.step-1] += size
			h.link.MarkWritten(sim.now(), size)
		})
	}
	if sim.lending {
		sim.requestLoan(i)
	}
}

func (sim *simulation) requestLoan(i int) {
	to := sim.random.IntN(len(sim.holders))
	if to == i {
		return
	}
	h := sim.holders[i]
	r, ok := h.link.RequestLoan(sim.now(), testCap)
	if !ok {
		return
	}
	sim.send(i, to, func() {
		rate := sim.holders[to].link.Lend(sim.now(), r.Rate)
		sim.send(to, i, func() { h.link.AcceptLoan(sim.now(), r.Number, rate) })
	})
}

// applyShares sets the smallest share of all member tables that some holder may
// still use, as the allotment of a region does.
func (sim *simulation) applyShares(i int) {
	h := sim.holders[i]
	oldest := h.version
	for _, other := range sim.holders {
		oldest = min(oldest, other.ackedVersion)
	}
	share := sim.sharesByVersion[h.version][i]
	for v := oldest; sim.keepSmallerShares && v <= h.version; v++ {
		share = min(share, sim.sharesByVersion[v][i])
	}
	if share != h.link.bucket.share {
		h.link.SetShare(sim.now(), share)
	}
	if h.link.WithinShare(sim.now()) {
		h.ackedVersion = h.version
	}
}

// publishShares delivers a new table of shares to each holder after a random
// delay.
func (sim *simulation) publishShares(shares []int64, maxDelay int) {
	sim.sharesByVersion = append(sim.sharesByVersion, shares)
	version := len(sim.sharesByVersion) - 1
	for i, holder := range sim.holders {
		sim.schedule(1+sim.random.IntN(maxDelay), i, func() { holder.version = max(holder.version, version) })
	}
}

// maxWindowBytes returns the maximum number of bytes written in any closed window
// of 1 s.
func (sim *simulation) maxWindowBytes() int64 {
	const window = int(time.Second/tick) + 1
	var highest, bytes int64
	for i, b := range sim.writtenByStep {
		bytes += b
		if i >= window {
			bytes -= sim.writtenByStep[i-window]
		}
		highest = max(highest, bytes)
	}
	return highest
}

func (sim *simulation) totalBytes() int64 {
	var total int64
	for _, b := range sim.writtenByStep {
		total += b
	}
	return total
}

// activate makes count randomly chosen holders active and the others idle.
func (sim *simulation) activate(count int) {
	for place, i := range sim.random.Perm(len(sim.holders)) {
		sim.holders[i].active = place < count
	}
}

func (sim *simulation) randomizeActive() {
	for _, h := range sim.holders {
		h.active = sim.random.IntN(2) == 0
	}
}

// Guards requirement R1: the bytes sent over a link in any window of 1 s never
// exceed its cap.
func TestBytesInAnyWindowStayWithinTheCap(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(*simulation)
	}{
		{"all active from the start", func(sim *simulation) { sim.run(5000) }},
		{"active holders change", func(sim *simulation) {
			for range 40 {
				sim.randomizeActive()
				sim.run(1 + sim.random.IntN(400))
			}
		}},
		{"lost messages", func(sim *simulation) {
			sim.lossPercent = 40
			for range 40 {
				sim.randomizeActive()
				sim.run(1 + sim.random.IntN(400))
			}
		}},
		{"partitions", func(sim *simulation) {
			for range 40 {
				side := sim.random.IntN(len(sim.holders))
				sim.partitioned = func(from, to int) bool { return (from < side) != (to < side) }
				sim.randomizeActive()
				sim.run(1 + sim.random.IntN(400))
			}
		}},
		{"paused borrowers and lenders", func(sim *simulation) {
			for range 60 {
				sim.randomizeActive()
				sim.holders[sim.random.IntN(len(sim.holders))].pausedUntil = sim.step + sim.random.IntN(2500)
				sim.run(1 + sim.random.IntN(300))
			}
		}},
		{"all idle lenders become active", func(sim *simulation) {
			for i := range 12 {
				sim.activate(1 + i%6)
				sim.run(200 + sim.random.IntN(1200))
				sim.activate(len(sim.holders))
				sim.run(1100)
			}
		}},
		{"responses are nearly as old as a loan", func(sim *simulation) {
			sim.maxDelay = 450
			for i := range 12 {
				sim.activate(1 + i%6)
				sim.run(200 + sim.random.IntN(1200))
				sim.activate(len(sim.holders))
				sim.run(1100)
			}
		}},
		{"all pause between take and write", func(sim *simulation) {
			for range 20 {
				sim.run(300 + sim.random.IntN(900))
				until := sim.step + 1 + sim.random.IntN(900)
				for _, h := range sim.holders {
					h.pausedUntil = until
				}
				sim.run(1100)
			}
		}},
		{"all pause after taking their burst", func(sim *simulation) {
			sim.lending = false
			for range 10 {
				sim.activate(0)
				sim.run(1200)
				sim.activate(len(sim.holders))
				sim.run(1)
				for _, h := range sim.holders {
					h.pausedUntil = sim.step + 950
				}
				sim.run(2000)
			}
		}},
		{"members change while all rate is lent", func(sim *simulation) {
			for range 20 {
				sim.activate(1)
				sim.run(500)
				sim.publishShares(sim.randomShares(), 50)
				sim.activate(len(sim.holders))
				sim.run(1500)
			}
		}},
		{"members change", func(sim *simulation) {
			for range 30 {
				sim.publishShares(sim.randomShares(), 1500)
				sim.randomizeActive()
				sim.run(1 + sim.random.IntN(1000))
			}
		}},
		{"losses, partitions, pauses and member changes", func(sim *simulation) {
			sim.lossPercent = 20
			for range 60 {
				sim.publishShares(sim.randomShares(), 1500)
				side := sim.random.IntN(len(sim.holders))
				sim.partitioned = func(from, to int) bool { return (from < side) != (to < side) }
				sim.holders[sim.random.IntN(len(sim.holders))].pausedUntil = sim.step + sim.random.IntN(2500)
				sim.randomizeActive()
				sim.run(1 + sim.random.IntN(700))
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				sim := newSimulation(seed, 12)
				c.run(sim)
				t.Logf("seed %d: worst window %.2f%% of the cap", seed, 100*float64(sim.maxWindowBytes())/float64(testCap))
				assert.LessOrEqual(t, sim.maxWindowBytes(), testCap, "seed %d", seed)
				assert.Positive(t, sim.totalBytes())
			}
		})
	}
}

// randomShares divides the cap equally among a random subset of the holders.
func (sim *simulation) randomShares() []int64 {
	shares := make([]int64, len(sim.holders))
	members := 1 + sim.random.IntN(len(shares))
	for _, i := range sim.random.Perm(len(shares))[:members] {
		shares[i] = testCap / int64(members)
	}
	return shares
}

// Guards the simulation itself against detecting nothing: if shares grow before
// others have shrunk, the cap is exceeded and the simulation must show it.
func TestCapIsExceededWhenSharesGrowAtOnce(t *testing.T) {
	sim := newSimulation(1, 12)
	sim.keepSmallerShares = false
	for range 30 {
		sim.publishShares(sim.randomShares(), 1500)
		sim.run(500)
	}
	assert.Greater(t, sim.maxWindowBytes(), testCap)
}

// Guards against lending without effect: a single busy instance among idle ones
// must get several times its own share.
func TestLendingServesABusyInstance(t *testing.T) {
	const steps = 10_000
	var totals []int64
	for _, lending := range []bool{false, true} {
		sim := newSimulation(1, 12)
		sim.lending = lending
		for i, h := range sim.holders {
			h.active = i == 0
		}
		sim.run(steps)
		totals = append(totals, sim.totalBytes())
	}
	t.Logf("one busy instance of 12: %.1f%% of the cap alone, %.1f%% with lending",
		100*float64(totals[0])/float64(testCap*10), 100*float64(totals[1])/float64(testCap*10))
	assert.Greater(t, totals[1], 4*totals[0])
}

func TestLoanIntervalIsWithinTheLendersInterval(t *testing.T) {
	now := epoch
	lender, borrower := NewLink(now, 1_000_000), NewLink(now, 1_000_000)
	r, ok := borrower.RequestLoan(now, 500_000)
	require.True(t, ok)
	granted := now.Add(100 * time.Millisecond)
	rate := lender.Lend(granted, r.Rate)
	assert.EqualValues(t, 500_000, rate)
	arrived := now.Add(200 * time.Millisecond)
	require.True(t, borrower.AcceptLoan(arrived, r.Number, rate))
	assert.False(t, borrower.AcceptLoan(arrived, r.Number, rate), "a repeated response")
	assert.EqualValues(t, 1_450_000, borrower.Rate(now.Add(LoanTerm-1)))
	assert.EqualValues(t, 950_000, borrower.Rate(now.Add(LoanTerm)))
	assert.EqualValues(t, 450_000, lender.Rate(granted.Add(LoanTerm-1)))
	assert.EqualValues(t, 950_000, lender.Rate(granted.Add(LoanTerm)))
}

// Guards against a refill that includes a loan beyond its expiry, when the loan
// expires between two calls.
func TestLoanExpiresBetweenTwoCalls(t *testing.T) {
	l := NewLink(epoch, 1_000_000)
	r, ok := l.RequestLoan(epoch, 100_000)
	require.True(t, ok)
	require.True(t, l.AcceptLoan(epoch, r.Number, 100_000))
	before := epoch.Add(LoanTerm - 20*time.Millisecond)
	require.True(t, l.Take(before, l.Burst()))
	l.MarkWritten(before, l.Burst())
	after := epoch.Add(LoanTerm + 20*time.Millisecond)
	assert.False(t, l.Take(after, 40_001))
	assert.True(t, l.Take(after, 40_000), "20 ms at 1,050,000 and 20 ms at 950,000 bytes a second")
}

func TestLateResponseGrantsNoLoan(t *testing.T) {
	borrower := NewLink(epoch, 1_000_000)
	r, ok := borrower.RequestLoan(epoch, 500_000)
	require.True(t, ok)
	assert.False(t, borrower.AcceptLoan(epoch.Add(LoanTerm), r.Number, 500_000))
	assert.False(t, borrower.AcceptLoan(epoch.Add(LoanTerm), 99, 500_000))
	assert.EqualValues(t, 950_000, borrower.Rate(epoch.Add(LoanTerm)))
}

func TestBusyOrBorrowingInstanceDoesNotLend(t *testing.T) {
	busy := NewLink(epoch, 1_000_000)
	now := epoch
	for range 1000 {
		now = now.Add(tick)
		if busy.Take(now, 900) {
			busy.MarkWritten(now, 900)
		}
	}
	assert.Zero(t, busy.Lend(now, 500_000))
	borrower := NewLink(epoch, 1_000_000)
	r, _ := borrower.RequestLoan(epoch, 100_000)
	require.True(t, borrower.AcceptLoan(epoch, r.Number, 100_000))
	assert.Zero(t, borrower.Lend(epoch, 500_000))
}

func TestReducedShareIsInForceAfterLoansExpire(t *testing.T) {
	l := NewLink(epoch, 1_000_000)
	require.Positive(t, l.Lend(epoch, 700_000))
	l.SetShare(epoch, 100_000)
	assert.Zero(t, l.Rate(epoch))
	assert.False(t, l.WithinShare(epoch.Add(LoanTerm-1)))
	assert.True(t, l.WithinShare(epoch.Add(LoanTerm)))
	assert.EqualValues(t, 95_000, l.Rate(epoch.Add(LoanTerm)))
}

// Guards the cap of a move, which applies in addition to the cap of the link.
func TestMoveStaysUnderItsOwnCap(t *testing.T) {
	const linkShare, moveShare = 10_000_000, 2_000_000
	link := NewLink(epoch, linkShare)
	move := NewBucket(epoch, moveShare)
	q := NewQueue(link)
	var moved, other []int64
	for step := range 4000 {
		now := epoch.Add(time.Duration(step) * tick)
		moved, other = append(moved, 0), append(other, 0)
		for range 4 { // The move offers 260 MB/s, the other traffic 8 MB/s.
			_, _ = q.Reserve(now, q.ChunkSize(1<<20, move), move, 100*time.Millisecond)
			_, _ = q.Reserve(now, q.ChunkSize(2_000, nil), nil, 100*time.Millisecond)
		}
		for _, ticket := range q.Advance(now) {
			if !ticket.Granted {
				continue
			}
			if ticket.move != nil {
				moved[step] += ticket.Bytes
			} else {
				other[step] += ticket.Bytes
			}
			q.MarkWritten(now, ticket)
		}
	}
	combined := &simulation{}
	for i := range moved {
		combined.writtenByStep = append(combined.writtenByStep, moved[i]+other[i])
	}
	assert.LessOrEqual(t, (&simulation{writtenByStep: moved}).maxWindowBytes(), int64(moveShare))
	assert.LessOrEqual(t, combined.maxWindowBytes(), int64(linkShare))
	assert.Greater(t, (&simulation{writtenByStep: moved}).totalBytes(), int64(3*moveShare))
	assert.Greater(t, combined.totalBytes(), int64(3*linkShare))
}

func TestQueueRefusesEarlyWithAReason(t *testing.T) {
	q := NewQueue(NewLink(epoch, 1_000_000))
	reason := func(err error) Reason {
		var failure *RefusalError
		require.ErrorAs(t, err, &failure)
		return failure.Reason
	}
	_, err := q.Reserve(epoch, 60_000, nil, time.Second)
	assert.Equal(t, TooLarge, reason(err))
	_, err = q.Reserve(epoch, 50_000, nil, 10*time.Millisecond)
	assert.Equal(t, WaitTooLong, reason(err))
	for range MaxWaitingReservations {
		_, err = q.Reserve(epoch, 1, nil, time.Second)
		require.NoError(t, err)
	}
	_, err = q.Reserve(epoch, 1, nil, time.Second)
	assert.Equal(t, QueueFull, reason(err))
	wait, ok := q.TimeUntilGrant(epoch)
	assert.True(t, ok)
	granted := q.Advance(epoch.Add(wait))
	require.NotEmpty(t, granted)
	assert.True(t, granted[0].Granted)
	for _, ticket := range q.Advance(epoch.Add(2 * time.Second)) {
		assert.False(t, ticket.Granted, "a reservation past its deadline")
	}
	assert.Zero(t, q.Len())
}

// Guards bodies larger than the burst, which are reserved in chunks.
func TestChunksCoverABody(t *testing.T) {
	q := NewQueue(NewLink(epoch, 1_000_000))
	now, remaining, chunks := epoch, int64(500_000), 0
	for remaining > 0 {
		size := q.ChunkSize(remaining, nil)
		_, err := q.Reserve(now, size, nil, time.Second)
		require.NoError(t, err)
		wait, ok := q.TimeUntilGrant(now)
		require.True(t, ok)
		now = now.Add(wait)
		done := q.Advance(now)
		require.Len(t, done, 1)
		require.True(t, done[0].Granted)
		q.MarkWritten(now, done[0])
		remaining -= size
		chunks++
	}
	assert.Equal(t, 10, chunks)
	assert.InDelta(t, 500_000.0/950_000, now.Sub(epoch).Seconds(), 0.001)
}

// Guards against a reservation that blocks the queue until its deadline, because
// a reduced share made it larger than the burst.
func TestReservationAboveReducedBurstDoesNotBlockOthers(t *testing.T) {
	link := NewLink(epoch, 1_000_000)
	q := NewQueue(link)
	_, err := q.Reserve(epoch, 50_000, nil, time.Minute)
	require.NoError(t, err)
	_, err = q.Reserve(epoch, 10_000, nil, time.Minute)
	require.NoError(t, err)
	link.SetShare(epoch, 500_000)
	done := q.Advance(epoch.Add(50 * time.Millisecond))
	require.Len(t, done, 2)
	assert.Equal(t, TooLarge, done[0].RefusalReason)
	assert.False(t, done[0].Granted)
	assert.True(t, done[1].Granted)
	assert.Zero(t, link.bucket.queuedBytes)
}
