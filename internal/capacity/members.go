package capacity

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthstall/jacinthstall/entry"
	"github.com/jacinthstall/jacinthstall/internal/figures"
	"github.com/jacinthstall/jacinthstall/internal/policybench"
	"github.com/jacinthstall/jacinthstall/membership"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
)

const (
	command = "go run ./cmd/jacinth-capacity"

	// Failure domains, regions and services of the largest system in the design.
	domainCount, regionCount = 56, 17
	serviceCount             = 3
	// messageOverheadBytes is the size of the DRPC frames (about 20) and of the TCP
	// (32, with timestamps) and IPv4 (20) headers of a message and its acknowledgement.
	messageOverheadBytes = 20 + 2*(32+20)
	// dailyMemberChanges is the number of membership updates per day at 8,000 members:
	// 17 failures and 740 restarts with four states each (slow, suspected, gone, alive).
	dailyMemberChanges = (17 + 740) * 4
	dailyConfigChanges = 26_000
	secondsPerDay      = 86_400
	measuredSeconds    = 20 // Virtual time over which heartbeats are counted.
)

// fleetSizes are the numbers of members at which fleet-wide roles are measured.
var fleetSizes = []int{500, 2_000, 8_000}

// memberUpdate returns the update of the i-th member, with names, addresses and
// numbers of realistic length.
func memberUpdate(i int) membership.Update {
	domain := i % domainCount
	return membership.Update{
		Name:          fmt.Sprintf("region-%02d-domain-%02d-%04d", domain%regionCount, domain, i),
		Domain:        fmt.Sprintf("region-%02d-domain-%02d", domain%regionCount, domain),
		Region:        fmt.Sprintf("region-%02d", domain%regionCount),
		PeerAddress:   fmt.Sprintf("10.%d.%d.%d:7300", domain, i>>8, i&255),
		CallerAddress: fmt.Sprintf("10.%d.%d.%d:7200", domain, i>>8, i&255),
		Incarnation:   1_700_000_000_000_000_000 + uint64(i),
		Counter:       3,
		KeyEpoch:      28_333_333,
		TableVersion:  1_000,
	}
}

// newTracker returns the tracker of member 0, which has heard from all members.
func newTracker(members int, now time.Time) *membership.Tracker {
	tracker := membership.NewTracker(memberUpdate(0))
	for i := 1; i < members; i++ {
		tracker.HandleResponse(now, memberUpdate(i), nil)
	}
	return tracker
}

// sendQueuedUpdates empties the queue of updates, so that the following messages are
// those of a fleet without changes.
func sendQueuedUpdates(tracker *membership.Tracker) {
	for len(tracker.UpdatesFor("")) > 0 {
	}
}

// heartbeatBytes returns the size on the wire of a heartbeat or of its response,
// which has the same fields.
func heartbeatBytes(self membership.Update, updates []membership.Update, services int) int {
	m := &peerpb.HeartbeatRequest{From: entry.MemberMessage(self), ConfigVersion: 1_000_000}
	for _, u := range updates {
		m.Updates = append(m.Updates, entry.MemberMessage(u))
	}
	for i := range services {
		m.Loads = append(m.Loads, &peerpb.ServiceLoad{Region: self.Region, Service: fmt.Sprint("catalogue-", i),
			Queued: 200, Busy: 60, Slots: 60, ExpectedWaitMicros: 150_000, AgeMillis: 100})
	}
	return proto.Size(m) + messageOverheadBytes
}

// steadyHeartbeatRate runs an instance in a fleet without changes. It returns the
// messages and bytes sent and the processor time used, each per second.
func steadyHeartbeatRate(members, services int) (messages, bytes float64, cpu time.Duration) {
	now := time.Unix(1_700_000_000, 0)
	tracker := newTracker(members, now)
	sendQueuedUpdates(tracker)
	var sent, sentBytes int
	start := time.Now()
	for range measuredSeconds * 10 {
		now = now.Add(100 * time.Millisecond)
		for _, peer := range tracker.Tick(now).Heartbeats {
			updates := tracker.UpdatesFor(peer.Name)
			sentBytes += 2 * heartbeatBytes(tracker.Self(), updates, services) // The heartbeat and the response to a received one.
			sent += 2
			tracker.HandleResponse(now, peer, nil)
			tracker.HandleHeartbeat(now, peer, nil)
		}
	}
	return float64(sent) / measuredSeconds, float64(sentBytes) / measuredSeconds, time.Since(start) / measuredSeconds
}

// memberChangeBytesPerSecond returns the bytes per second that an instance sends in
// addition for the membership changes of an average day.
func memberChangeBytesPerSecond(members int) float64 {
	now := time.Unix(1_700_000_000, 0)
	tracker := newTracker(members, now)
	sendQueuedUpdates(tracker)
	changed := memberUpdate(1)
	changed.Counter++
	tracker.HandleHeartbeat(now, changed, nil)
	sends := 0
	for n := len(tracker.UpdatesFor("")); n > 0; n = len(tracker.UpdatesFor("")) {
		sends += n
	}
	updateBytes := heartbeatBytes(changed, []membership.Update{changed}, 0) - heartbeatBytes(changed, nil, 0)
	changesPerSecond := float64(dailyMemberChanges) * float64(members) / designInstances / secondsPerDay
	return changesPerSecond * float64(sends*updateBytes)
}

// MeasureHeartbeats measures the heartbeats and responses that one instance sends.
func MeasureHeartbeats() ([]Row, error) {
	var rows []Row
	for _, size := range fleetSizes {
		messages, bytes, cpu := steadyHeartbeatRate(size, serviceCount)
		rows = append(rows, Row{Role: "peer heartbeats", Size: size, SizeUnit: "members", MessagesPerSecond: messages,
			BytesPerSecond: bytes + memberChangeBytesPerSecond(size), CPUPerSecond: cpu, Note: "3 services' loads; 757 failures and restarts a day at 8,000"})
	}
	return rows, nil
}

// MeasureMembershipTable measures the state that one instance keeps of all members,
// including a view.
func MeasureMembershipTable() ([]Row, error) {
	var rows []Row
	for _, size := range fleetSizes {
		now := time.Unix(1_700_000_000, 0)
		tracker, bytes := stateBytes(func() *membership.Tracker {
			tracker := newTracker(size, now)
			sendQueuedUpdates(tracker)
			tracker.View()
			return tracker
		})
		tick := meanCallTime(1000, func(i int) { tracker.Tick(now.Add(time.Duration(i) * time.Microsecond)) })
		rows = append(rows, Row{Role: "membership table", Size: size, SizeUnit: "members", StateBytes: bytes,
			CPUPerSecond: 10 * tick, Note: "10 ticks/s"})
	}
	return rows, nil
}

// configBytesPerSecond returns the bytes per second that an instance sends for
// configuration changes. One of 8 instances passes a change of about 200 bytes on
// to 8 instances, so an instance sends each change once on average.
func configBytesPerSecond() float64 {
	const deltaBytes = 200 + messageOverheadBytes
	return float64(dailyConfigChanges) * deltaBytes / secondsPerDay
}

// controlTrafficFigure returns the control traffic that an instance sends:
// heartbeats with the loads of some services, membership and configuration changes,
// and load reports.
func controlTrafficFigure(name string, members, services int, reportBytesPerSecond float64) figures.Figure {
	_, bytes, _ := steadyHeartbeatRate(members, services)
	total := (bytes + memberChangeBytesPerSecond(members) + configBytesPerSecond() + reportBytesPerSecond) / 1e3
	return figures.Figure{Name: name, Value: total, Unit: "KB/s", Bound: 9, Command: command}
}

// TrafficFigures returns the control traffic figures that are expected to meet their
// bounds. Load reports of 8,000 instances miss theirs: see knownMissFigures. All
// figures are deterministic.
func TrafficFigures() []figures.Figure {
	_, reportBytesPerSecond := loadReportRate(deploymentMembers, policybench.LoadInterval)
	return []figures.Figure{
		controlTrafficFigure("control traffic of 8,000 instances, loads in heartbeats only", designInstances, serviceCount, 0),
		controlTrafficFigure("control traffic of 12 instances, loads in reports only", deploymentMembers, 0, reportBytesPerSecond),
	}
}

// knownMissFigures returns the figures that are known to miss their bounds.
func knownMissFigures() ([]figures.Figure, error) {
	_, reportBytesPerSecond := loadReportRate(designInstances, policybench.LoadInterval)
	members := regionSizes[len(regionSizes)-1]
	holder, _ := holderWithMaxTables(members)
	record, err := holder.Record().Encode()
	return []figures.Figure{
		controlTrafficFigure("control traffic of 8,000 instances, loads in reports only", designInstances, 0, reportBytesPerSecond),
		{Name: "member table record, 470 members", Value: float64(len(record)) / 1e6, Unit: "MB", Bound: 1, Command: command},
	}, err
}

// Figures measures look-ups, control traffic and the size of a member table record.
func Figures() ([]figures.Figure, error) {
	list, err := lookupFigures()
	if err != nil {
		return nil, err
	}
	knownMisses, err := knownMissFigures()
	return append(append(list, TrafficFigures()...), knownMisses...), err
}
