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
	testCap = int64(35_000_000) // Reelstep's links: 280 Mbit/s.
)

var epoch = time.Unix(1_700_000_000, 0)

// scheduledCall is a message between holders, or a write under way.
type scheduledCall struct {
	to   int
	call func()
}

// holder is one instance with its link under virtual time.
type holder struct {
	link         *Link
	active       bool
	pausedUntil  int // Step until which it is paused.
	version      int // Latest member table that it knows.
	ackedVersion int // Latest member table of which it applies only the share.
}

// simulation runs all holders of a link and records the bytes written in each step.
type simulation struct {
	random            *rand.Rand
	step              int
	holders           []*holder
	scheduled         map[int][]scheduledCall // By the step in which they are due.
	writtenByStep     []int64
	sharesByVersion   [][]int64 // By member table version and holder.
	lossPercent       int       // Percent of the messages that are lost.
	partitioned       func(from, to int) bool
	maxDelay          int // Longest delay of a message in steps.
	lending           bool
	keepSmallerShares bool // Whether holders keep the smaller share until all have acknowledged.
}

func newSimulation(seed uint64, holders int) *simulation {
	tr := &simulation{random: rand.New(rand.NewPCG(seed, 7)), partitioned: func(int, int) bool { return false }, lending: true, keepSmallerShares: true, maxDelay: 30,
		scheduled: map[int][]scheduledCall{}}
	equal := make([]int64, holders)
	for i := range holders {
		equal[i] = testCap / int64(holders)
		tr.holders = append(tr.holders, &holder{link: NewLink(epoch, equal[i]), active: true})
	}
	tr.sharesByVersion = [][]int64{equal}
	return tr
}

func (tr *simulation) now() time.Time { return epoch.Add(time.Duration(tr.step) * tick) }

func (tr *simulation) run(steps int) {
	for range steps {
		tr.step++
		tr.writtenByStep = append(tr.writtenByStep, 0)
		tr.runDueCalls()
		for _, i := range tr.random.Perm(len(tr.holders)) {
			if tr.holders[i].pausedUntil <= tr.step {
				tr.applyShares(i)
				tr.useLink(i)
			}
		}
	}
}

// runDueCalls runs the parcels that are due. Those to a paused holder wait for it.
func (tr *simulation) runDueCalls() {
	due := tr.scheduled[tr.step]
	delete(tr.scheduled, tr.step)
	for _, p := range due {
		if until := tr.holders[p.to].pausedUntil; until > tr.step {
			tr.scheduled[until] = append(tr.scheduled[until], p)
			continue
		}
		p.call()
	}
}

// schedule has call run at a holder in a later step.
func (tr *simulation) schedule(steps, to int, call func()) {
	due := tr.step + max(steps, 1)
	tr.scheduled[due] = append(tr.scheduled[due], scheduledCall{to: to, call: call})
}

func (tr *simulation) send(from, to int, call func()) {
	if tr.random.IntN(100) < tr.lossPercent || tr.partitioned(from, to) {
		return
	}
	tr.schedule(1+tr.random.IntN(tr.maxDelay), to, call)
}

// useLink takes all bytes that the bucket gives and writes them up to 5 ms later,
// or after a pause that begins in between.
func (tr *simulation) useLink(i int) {
	h := tr.holders[i]
	if !h.active {
		return
	}
	for range 64 {
		size := min(1+tr.random.Int64N(32<<10), h.link.Burst())
		if size == 0 || !h.link.Take(tr.now(), size) {
			break
		}
		tr.schedule(tr.random.IntN(6), i, func() {
			tr.writtenByStep[tr.step-1] += size
			h.link.MarkWritten(tr.now(), size)
		})
	}
	if tr.lending {
		tr.requestLoan(i)
	}
}

func (tr *simulation) requestLoan(i int) {
	to := tr.random.IntN(len(tr.holders))
	if to == i {
		return
	}
	h := tr.holders[i]
	r, ok := h.link.RequestLoan(tr.now(), testCap)
	if !ok {
		return
	}
	tr.send(i, to, func() {
		rate := tr.holders[to].link.Lend(tr.now(), r.Rate)
		tr.send(to, i, func() { h.link.AcceptLoan(tr.now(), r.Number, rate) })
	})
}

// applyShares uses the smallest share of all tables that some holder has not
// left yet, as the allotment of a region does.
func (tr *simulation) applyShares(i int) {
	h := tr.holders[i]
	oldest := h.version
	for _, other := range tr.holders {
		oldest = min(oldest, other.ackedVersion)
	}
	share := tr.sharesByVersion[h.version][i]
	for v := oldest; tr.keepSmallerShares && v <= h.version; v++ {
		share = min(share, tr.sharesByVersion[v][i])
	}
	if share != h.link.bucket.share {
		h.link.SetShare(tr.now(), share)
	}
	if h.link.WithinShare(tr.now()) {
		h.ackedVersion = h.version
	}
}

// publishShares makes a table of shares known to each holder after a delay.
func (tr *simulation) publishShares(shares []int64, maxDelay int) {
	tr.sharesByVersion = append(tr.sharesByVersion, shares)
	version := len(tr.sharesByVersion) - 1
	for i, h := range tr.holders {
		tr.schedule(1+tr.random.IntN(maxDelay), i, func() { h.version = max(h.version, version) })
	}
}

// maxWindowBytes returns the most bytes in any closed window of 1 s.
func (tr *simulation) maxWindowBytes() int64 {
	const window = int(time.Second/tick) + 1
	var worst, bytes int64
	for i, b := range tr.writtenByStep {
		bytes += b
		if i >= window {
			bytes -= tr.writtenByStep[i-window]
		}
		worst = max(worst, bytes)
	}
	return worst
}

func (tr *simulation) totalBytes() int64 {
	var total int64
	for _, b := range tr.writtenByStep {
		total += b
	}
	return total
}

// activate makes count random holders active and the others idle.
func (tr *simulation) activate(count int) {
	for place, i := range tr.random.Perm(len(tr.holders)) {
		tr.holders[i].active = place < count
	}
}

func (tr *simulation) randomizeActive() {
	for _, h := range tr.holders {
		h.active = tr.random.IntN(2) == 0
	}
}

// Guards R1: bytes on a link in any window of 1 s never exceed its cap.
func TestBytesInAnyWindowStayWithinTheCap(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(*simulation)
	}{
		{"all move at once", func(tr *simulation) { tr.run(5000) }},
		{"active ones change", func(tr *simulation) {
			for range 40 {
				tr.randomizeActive()
				tr.run(1 + tr.random.IntN(400))
			}
		}},
		{"lost messages", func(tr *simulation) {
			tr.lossPercent = 40
			for range 40 {
				tr.randomizeActive()
				tr.run(1 + tr.random.IntN(400))
			}
		}},
		{"partitions", func(tr *simulation) {
			for range 40 {
				side := tr.random.IntN(len(tr.holders))
				tr.partitioned = func(from, to int) bool { return (from < side) != (to < side) }
				tr.randomizeActive()
				tr.run(1 + tr.random.IntN(400))
			}
		}},
		{"paused borrowers and lenders", func(tr *simulation) {
			for range 60 {
				tr.randomizeActive()
				tr.holders[tr.random.IntN(len(tr.holders))].pausedUntil = tr.step + tr.random.IntN(2500)
				tr.run(1 + tr.random.IntN(300))
			}
		}},
		{"all idle lenders become active", func(tr *simulation) {
			for i := range 12 {
				tr.activate(1 + i%6)
				tr.run(200 + tr.random.IntN(1200))
				tr.activate(len(tr.holders))
				tr.run(1100)
			}
		}},
		{"answers are nearly as old as a loan", func(tr *simulation) {
			tr.maxDelay = 450
			for i := range 12 {
				tr.activate(1 + i%6)
				tr.run(200 + tr.random.IntN(1200))
				tr.activate(len(tr.holders))
				tr.run(1100)
			}
		}},
		{"all pause between take and write", func(tr *simulation) {
			for range 20 {
				tr.run(300 + tr.random.IntN(900))
				until := tr.step + 1 + tr.random.IntN(900)
				for _, h := range tr.holders {
					h.pausedUntil = until
				}
				tr.run(1100)
			}
		}},
		{"all pause after taking their burst", func(tr *simulation) {
			tr.lending = false
			for range 10 {
				tr.activate(0)
				tr.run(1200)
				tr.activate(len(tr.holders))
				tr.run(1)
				for _, h := range tr.holders {
					h.pausedUntil = tr.step + 950
				}
				tr.run(2000)
			}
		}},
		{"members change while all rate is lent", func(tr *simulation) {
			for range 20 {
				tr.activate(1)
				tr.run(500)
				tr.publishShares(tr.randomShares(), 50)
				tr.activate(len(tr.holders))
				tr.run(1500)
			}
		}},
		{"members change", func(tr *simulation) {
			for range 30 {
				tr.publishShares(tr.randomShares(), 1500)
				tr.randomizeActive()
				tr.run(1 + tr.random.IntN(1000))
			}
		}},
		{"all of it", func(tr *simulation) {
			tr.lossPercent = 20
			for range 60 {
				tr.publishShares(tr.randomShares(), 1500)
				side := tr.random.IntN(len(tr.holders))
				tr.partitioned = func(from, to int) bool { return (from < side) != (to < side) }
				tr.holders[tr.random.IntN(len(tr.holders))].pausedUntil = tr.step + tr.random.IntN(2500)
				tr.randomizeActive()
				tr.run(1 + tr.random.IntN(700))
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				tr := newSimulation(seed, 12)
				c.run(tr)
				t.Logf("seed %d: worst window %.2f%% of the cap", seed, 100*float64(tr.maxWindowBytes())/float64(testCap))
				assert.LessOrEqual(t, tr.maxWindowBytes(), testCap, "seed %d", seed)
				assert.Positive(t, tr.totalBytes())
			}
		})
	}
}

// randomShares splits the cap over a random part of the holders.
func (tr *simulation) randomShares() []int64 {
	shares := make([]int64, len(tr.holders))
	members := 1 + tr.random.IntN(len(shares))
	for _, i := range tr.random.Perm(len(shares))[:members] {
		shares[i] = testCap / int64(members)
	}
	return shares
}

// Guards the check itself: without the rule that shares shrink before others
// grow, the cap is exceeded.
func TestCapIsExceededWhenSharesGrowAtOnce(t *testing.T) {
	tr := newSimulation(1, 12)
	tr.keepSmallerShares = false
	for range 30 {
		tr.publishShares(tr.randomShares(), 1500)
		tr.run(500)
	}
	assert.Greater(t, tr.maxWindowBytes(), testCap)
}

// Guards against lending that has no use: one busy instance among idle ones
// gets several times its share.
func TestLendingServesABusyInstance(t *testing.T) {
	const steps = 10_000
	var totals []int64
	for _, lending := range []bool{false, true} {
		tr := newSimulation(1, 12)
		tr.lending = lending
		for i, h := range tr.holders {
			h.active = i == 0
		}
		tr.run(steps)
		totals = append(totals, tr.totalBytes())
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
	assert.False(t, borrower.AcceptLoan(arrived, r.Number, rate), "a repeated answer")
	assert.EqualValues(t, 1_450_000, borrower.Rate(now.Add(LoanTerm-1)))
	assert.EqualValues(t, 950_000, borrower.Rate(now.Add(LoanTerm)))
	assert.EqualValues(t, 450_000, lender.Rate(granted.Add(LoanTerm-1)))
	assert.EqualValues(t, 950_000, lender.Rate(granted.Add(LoanTerm)))
}

// Guards against a refill that counts a loan beyond its end.
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

// Guards a move's own cap under the link's cap.
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
	both := &simulation{}
	for i := range moved {
		both.writtenByStep = append(both.writtenByStep, moved[i]+other[i])
	}
	assert.LessOrEqual(t, (&simulation{writtenByStep: moved}).maxWindowBytes(), int64(moveShare))
	assert.LessOrEqual(t, both.maxWindowBytes(), int64(linkShare))
	assert.Greater(t, (&simulation{writtenByStep: moved}).totalBytes(), int64(3*moveShare))
	assert.Greater(t, both.totalBytes(), int64(3*linkShare))
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

// Guards bodies larger than the burst: they are reserved in chunks.
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

// Guards against a reservation that blocks a link until its deadline because a
// smaller share made it larger than the burst.
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
