package entry

import (
	"time"

	"github.com/jacinthstall/jacinthstall/dispatch"
	"github.com/jacinthstall/jacinthstall/peer"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
	"github.com/jacinthstall/jacinthstall/slots"
)

// notifier sends the scheduler's messages. Loads for one peer share a message.
type notifier struct {
	instance    *Instance
	outbox      *peer.Outbox
	loadReports map[string]*peerpb.LoadReport
}

// SendWant implements scheduling.PeerSender.
func (n *notifier) SendWant(w dispatch.SendWant) {
	m := &peerpb.Want{Requester: n.instance.settings.Name, Incarnation: n.instance.incarnation, Service: w.Service, Sequence: w.Sequence}
	for _, age := range w.Ages {
		m.AgesMicros = append(m.AgesMicros, uint32(age.Microseconds()))
	}
	n.outbox.Send(w.To, &peerpb.Notification{Message: &peerpb.Notification_Want{Want: m}}, nil)
}

// SendGrant implements scheduling.PeerSender.
func (n *notifier) SendGrant(g dispatch.SendGrant, undelivered func()) {
	m := &peerpb.Grant{Home: n.instance.settings.Name, Incarnation: n.instance.incarnation, Service: g.Service, Target: g.Target,
		Grant: g.GrantID, TtlMillis: uint32(g.TTL.Milliseconds()), Want: g.WantSequence}
	n.outbox.Send(g.To, &peerpb.Notification{Message: &peerpb.Notification_Grant{Grant: m}}, undelivered)
}

// SendRelease implements scheduling.PeerSender.
func (n *notifier) SendRelease(r dispatch.SendRelease) {
	m := &peerpb.Release{Target: r.Target, Grant: r.GrantID, Cause: peerpb.ReleaseCause(r.Cause)}
	n.outbox.Send(r.To, &peerpb.Notification{Message: &peerpb.Notification_Release{Release: m}}, nil)
}

// SendHandOff implements scheduling.PeerSender.
func (n *notifier) SendHandOff(h dispatch.SendHandOff) {
	m := &peerpb.HandOff{From: n.instance.memberTable.selfID(), Target: h.Target, Busy: uint32(h.BusySlots), Version: h.TableVersion}
	n.outbox.Send(h.To, &peerpb.Notification{Message: &peerpb.Notification_HandOff{HandOff: m}}, nil)
}

// SendLoad implements scheduling.PeerSender.
func (n *notifier) SendLoad(l dispatch.SendLoad) {
	report := n.loadReports[l.To]
	if report == nil {
		report = &peerpb.LoadReport{From: n.instance.settings.Name, Region: n.instance.settings.Region}
		n.loadReports[l.To] = report
	}
	report.Loads = append(report.Loads, &peerpb.ServiceLoad{Service: l.Load.Service, Queued: uint32(l.Load.Queued),
		Busy: uint32(l.Load.Busy), Slots: uint32(l.Load.Slots), HoldMicros: uint32(l.Load.MeanHoldTime.Microseconds()),
		AgeMillis: uint32(l.Load.Age.Milliseconds())})
}

// Flush implements scheduling.PeerSender.
func (n *notifier) Flush() {
	for to, report := range n.loadReports {
		n.outbox.Send(to, &peerpb.Notification{Message: &peerpb.Notification_Load{Load: report}}, nil)
	}
	clear(n.loadReports)
}

// Notify takes the scheduler messages of another instance.
func (p *peerServer) Notify(stream peerpb.DRPCPeer_NotifyStream) error {
	for {
		n, err := stream.Recv()
		if err != nil {
			return err
		}
		p.instance.handleNotification(n)
	}
}

func (in *Instance) handleNotification(n *peerpb.Notification) {
	switch m := n.Message.(type) {
	case *peerpb.Notification_Want:
		in.runner.ReceiveWant(wantFromProto(m.Want))
	case *peerpb.Notification_Grant:
		g := m.Grant
		in.runner.ReceiveGrant(dispatch.Grant{Home: g.Home, Service: g.Service, Target: g.Target, ID: g.Grant, WantSequence: g.Want,
			TTL: min(time.Duration(g.TtlMillis)*time.Millisecond, maxRequestTime+dispatch.GrantExpiryMargin)})
	case *peerpb.Notification_Release:
		in.runner.ReceiveRelease(m.Release.Target, m.Release.Grant, slots.ReleaseCause(m.Release.Cause))
	case *peerpb.Notification_HandOff:
		h := m.HandOff
		in.runner.ReceiveHandOff(dispatch.HandOff{From: h.From, Target: h.Target, BusySlots: int(h.Busy), TableVersion: h.Version})
	case *peerpb.Notification_Load:
		from := dispatch.Member{Name: m.Load.From, Region: m.Load.Region}
		for _, l := range m.Load.Loads {
			in.runner.ReceiveLoad(from, loadFromProto(l))
		}
	}
}

func wantFromProto(m *peerpb.Want) dispatch.Want {
	w := dispatch.Want{From: m.Requester, Incarnation: m.Incarnation, Service: m.Service, Sequence: m.Sequence}
	for _, age := range m.AgesMicros {
		w.Ages = append(w.Ages, time.Duration(age)*time.Microsecond)
	}
	return w
}

func loadFromProto(m *peerpb.ServiceLoad) dispatch.ServiceLoad {
	return dispatch.ServiceLoad{Service: m.Service, Queued: int(m.Queued), Busy: int(m.Busy), Slots: int(m.Slots),
		MeanHoldTime: time.Duration(m.HoldMicros) * time.Microsecond, Age: time.Duration(m.AgeMillis) * time.Millisecond}
}
