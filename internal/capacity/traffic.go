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
	// frameBytes are those of one DRPC frame of a stream: kind, stream,
	// message number and length.
	frameBytes = 8
	// tcpOverheadBytes are those of TCP with timestamps and IPv4 for a message and its
	// acknowledgement.
	tcpOverheadBytes = 2 * (32 + 20)
)

// streamBytes returns the size on the wire of one scheduler message in its own
// TCP segment. Messages that share a segment cost less.
func streamBytes(m *peerpb.Notification) int { return proto.Size(m) + frameBytes + tcpOverheadBytes }

// loadReportBytes returns the size on the wire of one report with the loads of
// some services.
func loadReportBytes(count int) int {
	self := memberUpdate(0)
	report := &peerpb.LoadReport{From: self.Name, Region: self.Region}
	for i := range count {
		report.Loads = append(report.Loads, &peerpb.ServiceLoad{Service: fmt.Sprint("catalogue-", i), Queued: 200,
			Busy: 60, Slots: 60, AgeMillis: 100, HoldMicros: 100_000})
	}
	return streamBytes(&peerpb.Notification{Message: &peerpb.Notification_Load{Load: report}})
}

func wantBytes() int {
	w := &peerpb.Want{Requester: memberUpdate(0).Name, Incarnation: memberUpdate(0).Incarnation, Service: "catalogue-0", Sequence: 1_000_000}
	for i := range dispatch.MaxAges {
		w.AgesMicros = append(w.AgesMicros, uint32(200_000-i*1000))
	}
	return streamBytes(&peerpb.Notification{Message: &peerpb.Notification_Want{Want: w}})
}

func grantBytes() int {
	g := &peerpb.Grant{Home: memberUpdate(0).Name, Incarnation: memberUpdate(0).Incarnation, Service: "catalogue-0", Target: "catalogue-0-0001",
		Grant: 1 << 40, TtlMillis: 30_000, Want: 1_000_000}
	return streamBytes(&peerpb.Notification{Message: &peerpb.Notification_Grant{Grant: g}})
}

func releaseBytes() int {
	r := &peerpb.Release{Target: "catalogue-0-0001", Grant: 1 << 40, Cause: peerpb.ReleaseCause_RELEASE_CAUSE_ANSWERED}
	return streamBytes(&peerpb.Notification{Message: &peerpb.Notification_Release{Release: r}})
}

// deploymentMembers is the size of the deployments of the design page, which
// have 3 regions of 2 domains; larger fleets have those of the design scale.
const deploymentMembers = 12

// fleetView is the view of the first of some members, with three services of
// which the own region has targets with three slots.
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

func newScheduler(members, targets int, now time.Time) *dispatch.Scheduler {
	self, view := fleetView(members, targets)
	scheduler := dispatch.New(dispatch.Config{Self: self, Incarnation: 1, MaxQueueLength: 1 << 20, GrantTTL: time.Minute,
		LoadInterval: policybench.LoadInterval, LoadMaxAge: policybench.LoadMaxAge})
	scheduler.SetView(now, view)
	return scheduler
}

// loadReportReceivers returns the instances that get a load report in each interval.
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

// loadReportRate returns the messages and bytes a second of load reports.
func loadReportRate(members int, interval time.Duration) (messages, bytes float64) {
	messages = float64(loadReportReceivers(members)) / interval.Seconds()
	return messages, messages * float64(loadReportBytes(serviceCount))
}

// LoadReports measures the load reports of one instance.
func LoadReports() ([]Row, error) {
	var rows []Row
	for _, size := range append([]int{deploymentMembers}, fleetSizes...) {
		messages, bytes := loadReportRate(size, policybench.LoadInterval)
		rows = append(rows, Row{Role: "load reports", Size: size, SizeUnit: "members", Messages: messages, Bytes: bytes,
			Note: fmt.Sprintf("%s interval, %d services in a message of %d B", policybench.LoadInterval, serviceCount, loadReportBytes(serviceCount))})
	}
	return rows, nil
}

// RequestMessages measures the wants, grants and releases of a request. Its
// rows are for one request a second; bytes are those of the sender.
func RequestMessages() ([]Row, error) {
	var rows []Row
	for _, instances := range []int{8, 10, 12} {
		perRequest := policybench.MessagesPerRequest(instances)
		messages := perRequest["want"] + perRequest["grant"] + perRequest["release"]
		bytes := perRequest["want"]*float64(wantBytes()) + perRequest["grant"]*float64(grantBytes()) +
			perRequest["release"]*float64(releaseBytes())
		rows = append(rows, Row{Role: "request messages", Size: instances, SizeUnit: "inst.", Messages: messages, Bytes: bytes,
			Note: fmt.Sprintf("1 request/s; wants %.2f x %d B, grants %.2f x %d B, releases %.2f x %d B", perRequest["want"], wantBytes(),
				perRequest["grant"], grantBytes(), perRequest["release"], releaseBytes())})
	}
	return rows, nil
}

// Scheduler measures the state of queued requests and the time of one request:
// arrival, start and release.
func Scheduler() ([]Row, error) {
	const targets, calls = 4, 2_000
	var rows []Row
	for _, size := range []int{500, 1_000, 4_000} {
		now := time.Unix(1_700_000_000, 0)
		bench, bytes := stateBytes(func() *schedulerBenchmark { return newSchedulerBenchmark(size, targets, now) })
		cpu := meanCallTime(calls, func(int) { bench.completeOne() })
		rows = append(rows, Row{Role: "scheduler", Size: size, SizeUnit: "queued", StateBytes: bytes, CPU: cpu,
			Note: "1 request/s: arrival, start, release"})
	}
	return rows, nil
}

// schedulerBenchmark is a scheduler with a constant number of queued requests.
type schedulerBenchmark struct {
	scheduler     *dispatch.Scheduler
	now           time.Time
	lastRequestID uint64
	started       []dispatch.Start
}

func newSchedulerBenchmark(queued, targets int, now time.Time) *schedulerBenchmark {
	bench := &schedulerBenchmark{scheduler: newScheduler(1, targets, now), now: now}
	for range queued {
		bench.submit()
	}
	return bench
}

func (bench *schedulerBenchmark) submit() {
	bench.lastRequestID++
	bench.now = bench.now.Add(time.Microsecond)
	bench.collectStarts(bench.scheduler.Submit(bench.now, dispatch.Request{ID: bench.lastRequestID, Service: "catalogue-0", EnteredAt: bench.now, Deadline: bench.now.Add(time.Hour)}))
}

func (bench *schedulerBenchmark) collectStarts(actions []dispatch.Action) {
	for _, a := range actions {
		if start, ok := a.(dispatch.Start); ok {
			bench.started = append(bench.started, start)
		}
	}
}

// completeOne ends the oldest started request and lets another one arrive.
func (bench *schedulerBenchmark) completeOne() {
	bench.submit()
	first := bench.started[0]
	bench.started = bench.started[1:]
	bench.now = bench.now.Add(time.Microsecond)
	bench.collectStarts(bench.scheduler.RequestFinished(bench.now, first.Request.ID, slots.Answered, false))
}
