package capacity

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthstall/jacinthstall/dispatch"
	"github.com/jacinthstall/jacinthstall/internal/policybench"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
	"github.com/jacinthstall/jacinthstall/slots"
)

const (
	// frameBytes is the size of a DRPC frame header on a stream: kind, stream, message
	// number and length.
	frameBytes = 8
	// tcpOverheadBytes is the size of the TCP (32, with timestamps) and IPv4 (20) headers
	// of a message and its acknowledgement.
	tcpOverheadBytes = 2 * (32 + 20)
)

// streamBytes returns the size on the wire of a scheduler message in a TCP segment of
// its own, an upper bound for messages that share a segment.
func streamBytes(m *peerpb.Notification) int { return proto.Size(m) + frameBytes + tcpOverheadBytes }

// loadReportBytes returns the size on the wire of a load report for a number of
// services.
func loadReportBytes(services int) int {
	self := memberUpdate(0)
	report := &peerpb.LoadReport{From: self.Name, Region: self.Region}
	for i := range services {
		report.Loads = append(report.Loads, &peerpb.ServiceLoad{Service: fmt.Sprint("catalogue-", i), Queued: 200,
			Busy: 60, Slots: 60, AgeMillis: 100, HoldMicros: 100_000})
	}
	return streamBytes(&peerpb.Notification{Message: &peerpb.Notification_Load{Load: report}})
}

func wantBytes() int {
	want := &peerpb.Want{Requester: memberUpdate(0).Name, Incarnation: memberUpdate(0).Incarnation, Service: "catalogue-0", Sequence: 1_000_000}
	for i := range dispatch.MaxAges {
		want.AgesMicros = append(want.AgesMicros, uint32(200_000-i*1000))
	}
	return streamBytes(&peerpb.Notification{Message: &peerpb.Notification_Want{Want: want}})
}

func grantBytes() int {
	grant := &peerpb.Grant{Home: memberUpdate(0).Name, Incarnation: memberUpdate(0).Incarnation, Service: "catalogue-0", Target: "catalogue-0-0001",
		Grant: 1 << 40, TtlMillis: 30_000, Want: 1_000_000}
	return streamBytes(&peerpb.Notification{Message: &peerpb.Notification_Grant{Grant: grant}})
}

func releaseBytes() int {
	release := &peerpb.Release{Target: "catalogue-0-0001", Grant: 1 << 40, Cause: peerpb.ReleaseCause_RELEASE_CAUSE_ANSWERED}
	return streamBytes(&peerpb.Notification{Message: &peerpb.Notification_Release{Release: release}})
}

// deploymentMembers is the number of instances of the deployments that the design
// describes. Fleets up to this size have 3 regions of 2 failure domains, larger ones
// regionCount regions of domainCount domains in total.
const deploymentMembers = 12

// fleetView returns the first member of a fleet and its view. Its region has the given
// number of targets, of three slots each, for each service.
func fleetView(members, targets int) (dispatch.Member, dispatch.View) {
	view := dispatch.View{TransportDelay: map[string]time.Duration{}}
	for i := range members {
		u := memberUpdate(i)
		if members <= deploymentMembers {
			u.Domain, u.Region = fmt.Sprint("domain-", i%6), fmt.Sprint("region-", i%3)
		}
		view.Members = append(view.Members, dispatch.Member{Name: u.Name, Region: u.Region, Domain: u.Domain})
		view.TransportDelay[u.Region] = 20 * time.Millisecond
	}
	for i := range serviceCount {
		name := fmt.Sprint("catalogue-", i)
		view.Services = append(view.Services, dispatch.Service{Name: name})
		for n := range targets {
			t := slots.Target{Name: fmt.Sprintf("%s-%04d", name, n), Service: name, Slots: 3}
			view.Targets = append(view.Targets, dispatch.Target{Target: t, Home: view.Members[0].Name, NeverMoved: true})
		}
	}
	return view.Members[0], view
}

// newScheduler returns the scheduler of the first member of a fleet.
func newScheduler(members, targets int, now time.Time) *dispatch.Scheduler {
	self, view := fleetView(members, targets)
	scheduler := dispatch.New(dispatch.Config{Self: self, Incarnation: 1, MaxQueueLength: 1 << 20, GrantTTL: time.Minute,
		LoadInterval: policybench.LoadInterval, LoadMaxAge: policybench.LoadMaxAge})
	scheduler.SetView(now, view)
	return scheduler
}

// loadReportReceivers returns how many instances receive a member's load report in
// each interval.
func loadReportReceivers(members int) int {
	now := time.Unix(1_700_000_000, 0)
	scheduler := newScheduler(members, 2, now)
	receivers := map[string]bool{}
	for _, a := range scheduler.Tick(now.Add(policybench.LoadInterval)) {
		if load, ok := a.(dispatch.SendLoad); ok {
			receivers[load.To] = true
		}
	}
	return len(receivers)
}

// loadReportRate returns the load reports that an instance sends per second, and
// their bytes.
func loadReportRate(members int, interval time.Duration) (messages, bytes float64) {
	messages = float64(loadReportReceivers(members)) / interval.Seconds()
	return messages, messages * float64(loadReportBytes(serviceCount))
}

// MeasureLoadReports measures the load reports that one instance sends.
func MeasureLoadReports() ([]Row, error) {
	var rows []Row
	for _, size := range append([]int{deploymentMembers}, fleetSizes...) {
		messages, bytes := loadReportRate(size, policybench.LoadInterval)
		rows = append(rows, Row{Role: "load reports", Size: size, SizeUnit: "members", MessagesPerSecond: messages, BytesPerSecond: bytes,
			Note: fmt.Sprintf("%s interval, %d services in a message of %d B", policybench.LoadInterval, serviceCount, loadReportBytes(serviceCount))})
	}
	return rows, nil
}

// MeasureRequestMessages measures the wants, grants and releases for a request.
// The rows are for one request per second and count each message once, at its
// sender.
func MeasureRequestMessages() ([]Row, error) {
	var rows []Row
	for _, instances := range []int{8, 10, 12} {
		perRequest := policybench.MessagesPerRequest(instances)
		messages := perRequest["want"] + perRequest["grant"] + perRequest["release"]
		bytes := perRequest["want"]*float64(wantBytes()) + perRequest["grant"]*float64(grantBytes()) +
			perRequest["release"]*float64(releaseBytes())
		rows = append(rows, Row{Role: "request messages", Size: instances, SizeUnit: "inst.", MessagesPerSecond: messages, BytesPerSecond: bytes,
			Note: fmt.Sprintf("1 request/s; wants %.2f x %d B, grants %.2f x %d B, releases %.2f x %d B", perRequest["want"], wantBytes(),
				perRequest["grant"], grantBytes(), perRequest["release"], releaseBytes())})
	}
	return rows, nil
}

// MeasureScheduler measures the memory of queued requests and the processor time
// for the arrival, start and release of a request.
func MeasureScheduler() ([]Row, error) {
	const targets, calls = 4, 2_000
	var rows []Row
	for _, size := range []int{500, 1_000, 4_000} {
		now := time.Unix(1_700_000_000, 0)
		bench, bytes := stateBytes(func() *schedulerBenchmark { return newSchedulerBenchmark(size, targets, now) })
		cpu := meanCallTime(calls, func(int) { bench.completeOne() })
		rows = append(rows, Row{Role: "scheduler", Size: size, SizeUnit: "queued", StateBytes: bytes, CPUPerSecond: cpu,
			Note: "1 request/s: arrival, start, release"})
	}
	return rows, nil
}

// schedulerBenchmark keeps a constant number of requests queued at a scheduler.
type schedulerBenchmark struct {
	scheduler     *dispatch.Scheduler
	now           time.Time
	lastRequestID uint64
	started       []dispatch.Start // Requests that are executing, oldest first.
}

func newSchedulerBenchmark(queued, targets int, now time.Time) *schedulerBenchmark {
	bench := &schedulerBenchmark{scheduler: newScheduler(1, targets, now), now: now}
	for range queued {
		bench.submit()
	}
	return bench
}

// submit lets a request arrive.
func (bench *schedulerBenchmark) submit() {
	bench.lastRequestID++
	bench.now = bench.now.Add(time.Microsecond)
	bench.collectStarts(bench.scheduler.Submit(bench.now, dispatch.Request{ID: bench.lastRequestID, Service: "catalogue-0",
		EnteredAt: bench.now, Deadline: bench.now.Add(time.Hour)}))
}

func (bench *schedulerBenchmark) collectStarts(actions []dispatch.Action) {
	for _, a := range actions {
		if start, ok := a.(dispatch.Start); ok {
			bench.started = append(bench.started, start)
		}
	}
}

// completeOne lets a request arrive and ends the oldest executing one.
func (bench *schedulerBenchmark) completeOne() {
	bench.submit()
	first := bench.started[0]
	bench.started = bench.started[1:]
	bench.now = bench.now.Add(time.Microsecond)
	bench.collectStarts(bench.scheduler.RequestFinished(bench.now, first.Request.ID, slots.Answered, false))
}
