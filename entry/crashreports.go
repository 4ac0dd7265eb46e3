package entry

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
	"github.com/jacinthstall/jacinthstall/quarantine"
)

const (
	maxQueuedCrashReports = 256
	crashReportTimeout    = 500 * time.Millisecond
)

// queueCrashReports queues reports for sendCrashReports. Reports are dropped
// when the queue is full: the bound on crashed targets does not depend on them.
func (inst *Instance) queueCrashReports(reports []quarantine.Report) {
	for _, report := range reports {
		inst.crashReports.TryPush(report)
	}
}

// sendCrashReports sends queued reports to the peers of the failure domain.
func (inst *Instance) sendCrashReports(ctx context.Context) {
	for {
		report, ok := inst.crashReports.Pop(ctx)
		if !ok {
			return
		}
		for _, member := range inst.nearestPeers() {
			if member.Domain == inst.settings.Domain {
				go inst.sendCrashReport(ctx, member.PeerAddress, report)
			}
		}
	}
}

func (inst *Instance) sendCrashReport(ctx context.Context, address string, report quarantine.Report) {
	ctx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	request := &peerpb.ReportSuspectRequest{Fingerprint: report.Fingerprint[:], Service: report.Service, Target: report.Target,
		Reporter: inst.settings.Name, Cleared: report.Cleared, QuarantineMillis: uint32(report.RemainingQuarantine.Milliseconds())}
	if _, err := inst.peers.Client(ctx, address).ReportSuspect(ctx, request); err != nil {
		inst.events.Emit(events.CrashReportLost, log.Fields{"peer": address, "fingerprint": report.Fingerprint.String(), "error": err.Error()})
	}
}

// ReportSuspect handles the crash report of a peer of the failure domain.
func (server *peerServer) ReportSuspect(_ context.Context, r *peerpb.ReportSuspectRequest) (*peerpb.ReportSuspectResponse, error) {
	report := quarantine.Report{Service: r.Service, Target: r.Target, Cleared: r.Cleared,
		RemainingQuarantine: time.Duration(r.QuarantineMillis) * time.Millisecond}
	if len(r.Fingerprint) == len(report.Fingerprint) {
		copy(report.Fingerprint[:], r.Fingerprint)
		server.instance.quarantineGuard.ReceiveReport(time.Now(), report)
	}
	return &peerpb.ReportSuspectResponse{}, nil
}
