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

// queueCrashReports hands reports to sendReports. When its queue is full, they are
// dropped: the bound on crashed targets does not depend on them.
func (in *Instance) queueCrashReports(reports []quarantine.Report) {
	for _, r := range reports {
		in.crashReports.TryPush(r)
	}
}

// sendCrashReports sends queued reports to the other instances of the domain.
func (in *Instance) sendCrashReports(ctx context.Context) {
	for {
		r, ok := in.crashReports.Pop(ctx)
		if !ok {
			return
		}
		for _, member := range in.nearestPeers() {
			if member.Domain == in.settings.Domain {
				go in.sendCrashReport(ctx, member.PeerAddress, r)
			}
		}
	}
}

func (in *Instance) sendCrashReport(ctx context.Context, address string, r quarantine.Report) {
	ctx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	request := &peerpb.ReportSuspectRequest{Fingerprint: r.Fingerprint[:], Service: r.Service, Target: r.Target,
		Reporter: in.settings.Name, Cleared: r.Cleared, QuarantineMillis: uint32(r.RemainingQuarantine.Milliseconds())}
	if _, err := in.peers.Client(ctx, address).ReportSuspect(ctx, request); err != nil {
		in.events.Emit(events.CrashReportLost, log.Fields{"peer": address, "fingerprint": r.Fingerprint.String(), "error": err.Error()})
	}
}

// ReportSuspect takes a report of another instance of the domain.
func (p *peerServer) ReportSuspect(_ context.Context, r *peerpb.ReportSuspectRequest) (*peerpb.ReportSuspectResponse, error) {
	report := quarantine.Report{Service: r.Service, Target: r.Target, Cleared: r.Cleared,
		RemainingQuarantine: time.Duration(r.QuarantineMillis) * time.Millisecond}
	if len(r.Fingerprint) == len(report.Fingerprint) {
		copy(report.Fingerprint[:], r.Fingerprint)
		p.instance.quarantineGuard.ReceiveReport(time.Now(), report)
	}
	return &peerpb.ReportSuspectResponse{}, nil
}
