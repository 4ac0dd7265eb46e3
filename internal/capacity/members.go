package capacity

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthstall/jacinthstall/entry"
	"github.com/jacinthstall/jacinthstall/internal/figures"
	"github.com/jacinthstall/jacinthstall/membership"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
)

const (
	command = "go run ./cmd/jacinth-capacity"

	domains, regions = 56, 17
	services         = 3
	// headerBytes are those of DRPC frames (about 20), TCP with timestamps (32)
	// and IPv4 (20) for a message and its acknowledgement.
	headerBytes = 20 + 2*(32+20)
	// dailyChanges are the updates a day at 8,000 members: 17 failures and 740
	// restarts, each with slow, suspected, gone and alive.
	dailyChanges = (17 + 740) * 4
	// dailyConfig are the configuration changes a day.
	dailyConfig   = 26_000
	secondsPerDay = 86_400
	measured      = 20 // Seconds of virtual time.
)

var memberSizes = []int{500, 2_000, 8_000}

func update(i int) membership.Update {
	domain := i % domains
	return membership.Update{
		Name:          fmt.Sprintf("region-%02d-domain-%02d-%04d", domain%regions, domain, i),
		Domain:        fmt.Sprintf("region-%02d-domain-%02d", domain%regions, domain),
		Region:        fmt.Sprintf("region-%02d", domain%regions),
		PeerAddress:   fmt.Sprintf("10.%d.%d.%d:7300", domain, i>>8, i&255),
		CallerAddress: fmt.Sprintf("10.%d.%d.%d:7200", domain, i>>8, i&255),
		Incarnation:   1_700_000_000_000_000_000 + uint64(i),
		Counter:       3,
		KeyEpoch:      28_333_333,
		TableVersion:  1_000,
	}
}

// tracker returns the tracker of one instance that knows all members.
func tracker(members int, now time.Time) *membership.Tracker {
	t := membership.NewTracker(update(0))
	for i := 1; i < members; i++ {
		t.Answer(now, update(i), nil)
	}
	return t
}

// settle sends all queued updates, so that later messages are those of a fleet
// without changes.
func settle(t *membership.Tracker) {
	for len(t.UpdatesFor("")) > 0 {
	}
}

// messageBytes returns the size on the wire of a heartbeat or its answer, which
// have the same fields.
func messageBytes(self membership.Update, updates []membership.Update) int {
	m := &peerpb.HeartbeatRequest{From: entry.MemberMessage(self), ConfigVersion: 1_000_000}
	for _, u := range updates {
		m.Updates = append(m.Updates, entry.MemberMessage(u))
	}
	for i := range services {
		m.Loads = append(m.Loads, &peerpb.ServiceLoad{Region: self.Region, Service: fmt.Sprint("catalogue-", i),
			Queued: 200, Busy: 60, Slots: 60, ExpectedWaitMicros: 150_000, AgeMillis: 100})
	}
	return proto.Size(m) + headerBytes
}

// quietRate runs an instance in a fleet without changes and returns the
// messages and bytes that it sends a second, and its processor time.
func quietRate(members int) (messages, bytes float64, cpu time.Duration) {
	now := time.Unix(1_700_000_000, 0)
	t := tracker(members, now)
	settle(t)
	var sent, sentBytes int
	start := time.Now()
	for range measured * 10 {
		now = now.Add(100 * time.Millisecond)
		for _, to := range t.Tick(now).Heartbeats {
			updates := t.UpdatesFor(to.Name)
			sentBytes += 2 * messageBytes(t.Self(), updates) // The heartbeat, and the answer to a received one.
			sent += 2
			t.Answer(now, to, nil)
			t.Heartbeat(now, to, nil)
		}
	}
	return float64(sent) / measured, float64(sentBytes) / measured, time.Since(start) / measured
}

// changeBytes returns the bytes a second that the day's changes of members add
// to what an instance sends.
func changeBytes(members int) float64 {
	now := time.Unix(1_700_000_000, 0)
	t := tracker(members, now)
	settle(t)
	changed := update(1)
	changed.Counter++
	t.Heartbeat(now, changed, nil)
	sends := 0
	for n := len(t.UpdatesFor("")); n > 0; n = len(t.UpdatesFor("")) {
		sends += n
	}
	size := messageBytes(changed, []membership.Update{changed}) - messageBytes(changed, nil)
	changes := float64(dailyChanges) * float64(members) / designNodes / secondsPerDay
	return changes * float64(sends*size)
}

// Heartbeats measures the messages of one instance.
func Heartbeats() ([]Row, error) {
	var rows []Row
	for _, size := range memberSizes {
		messages, bytes, cpu := quietRate(size)
		rows = append(rows, Row{Role: "peer heartbeats", Size: size, SizeUnit: "members", Messages: messages,
			Bytes: bytes + changeBytes(size), CPU: cpu, Note: "3 services' loads; 757 failures and restarts a day at 8,000"})
	}
	return rows, nil
}

// MembershipTable measures the state of all members at one instance, with a
// view of it.
func MembershipTable() ([]Row, error) {
	var rows []Row
	for _, size := range memberSizes {
		now := time.Unix(1_700_000_000, 0)
		t, bytes := stateBytes(func() *membership.Tracker {
			t := tracker(size, now)
			settle(t)
			t.View()
			return t
		})
		tick := perCall(1000, func(i int) { t.Tick(now.Add(time.Duration(i) * time.Microsecond)) })
		rows = append(rows, Row{Role: "membership table", Size: size, SizeUnit: "members", StateBytes: bytes,
			CPU: 10 * tick, Note: "10 ticks/s"})
	}
	return rows, nil
}

// Figures measures look-ups and control traffic against their bounds.
func Figures() ([]figures.Figure, error) {
	list, err := lookupFigures()
	if err != nil {
		return nil, err
	}
	_, bytes, _ := quietRate(designNodes)
	// A configuration change of about 200 bytes is passed on to 8 instances by
	// one of 8, that is once for each instance.
	const deltaBytes = 200 + headerBytes
	config := float64(dailyConfig) * deltaBytes / secondsPerDay
	total := (bytes + changeBytes(designNodes) + config) / 1e3
	return append(list, figures.Figure{Name: "control traffic sent by an instance of 8,000 (heartbeats, configuration)",
		Value: total, Unit: "KB/s", Bound: 9, Command: command}), nil
}
