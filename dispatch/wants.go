package dispatch

import (
	"time"

	"github.com/jacinthstall/jacinthstall/slots"
)

// Want is an announcement of a peer's oldest queued requests.
type Want struct {
	From        string
	Incarnation uint64 // Of the sender.
	Service     string
	Sequence    uint64
	Ages        []time.Duration
}

// Grant is a slot that a home offers to this instance.
type Grant struct {
	Home         string
	Service      string
	Target       string
	ID           uint64
	WantSequence uint64 // Sequence of the want that the grant answers.
	TTL          time.Duration
}

// peerWant is the newest announcement of a peer, by the local clock.
type peerWant struct {
	incarnation uint64
	sequence    uint64
	enteredAt   []time.Time
	receivedAt  time.Time
}

// wantHistory is what the homes were told last.
type wantHistory struct {
	lastSequence uint64
	oldestID     uint64 // Id of the oldest request.
	lastCount    int
	lastSentAt   time.Time
	sentWants    []sentWant // The newest announcements, at most keptWants.
}

// sentWant is when a want was sent.
type sentWant struct {
	sequence uint64
	sentAt   time.Time
}

// maxSentWants bounds the wants whose time of sending is remembered. A grant that
// answers an older one is returned.
const maxSentWants = 256

func (a *wantHistory) record(sequence uint64, at time.Time) {
	a.sentWants = append(a.sentWants, sentWant{sequence, at})
	if len(a.sentWants) > 2*maxSentWants {
		a.sentWants = append([]sentWant(nil), a.sentWants[maxSentWants:]...)
	}
}

// timeSent returns when a want was sent.
func (a *wantHistory) timeSent(sequence uint64) (time.Time, bool) {
	for i := len(a.sentWants) - 1; i >= 0; i-- {
		if a.sentWants[i].sequence == sequence {
			return a.sentWants[i].sentAt, true
		}
	}
	return time.Time{}, false
}

// ReceiveWant takes a peer's want. An older one than the last is ignored.
func (s *Scheduler) ReceiveWant(now time.Time, w Want) []Action {
	s.beginEvent(now)
	v := s.services[w.Service]
	if v == nil {
		return s.takeActions()
	}
	last := v.peerWants[w.From]
	if last != nil && (w.Incarnation < last.incarnation || (w.Incarnation == last.incarnation && w.Sequence <= last.sequence)) {
		return s.takeActions()
	}
	next := &peerWant{incarnation: w.Incarnation, sequence: w.Sequence, receivedAt: now}
	for _, age := range w.Ages[:min(len(w.Ages), MaxAges)] {
		next.enteredAt = append(next.enteredAt, now.Add(-age))
	}
	v.peerWants[w.From] = next
	return s.assignAndAnnounce(now, v)
}

// PeerUnresponsive drops the wants of a peer that did not answer a message.
func (s *Scheduler) PeerUnresponsive(now time.Time, peer string) []Action {
	s.beginEvent(now)
	for _, v := range s.services {
		delete(v.peerWants, peer)
	}
	return s.takeActions()
}

// oldestWant returns the peer with the oldest announced request, the first by
// name among equals, or "".
func (v *serviceState) oldestWant(now time.Time) (string, time.Time) {
	best, entered := "", time.Time{}
	for peer, w := range v.peerWants {
		if len(w.enteredAt) == 0 || now.Sub(w.receivedAt) > wantMaxAge {
			continue
		}
		head := w.enteredAt[0]
		if best == "" || head.Before(entered) || (head.Equal(entered) && peer < best) {
			best, entered = peer, head
		}
	}
	return best, entered
}

// grantToPeer gives a free home slot to a peer.
func (s *Scheduler) grantToPeer(now time.Time, v *serviceState, peer string, entered time.Time, target string) {
	g, err := s.ledger.Acquire(now, target, peer, now.Add(s.config.GrantTTL))
	if err != nil {
		return
	}
	w := v.peerWants[peer]
	w.enteredAt = w.enteredAt[1:]
	s.emit(SendGrant{To: peer, Service: v.Name, Target: target, GrantID: g.ID, WantSequence: w.sequence, TTL: s.config.GrantTTL, Age: now.Sub(entered)})
}

// ReceiveGrant takes a slot from a home and starts the oldest request that may use
// it, or returns the slot. The slot's life counts from the sending of the want,
// which is before the home counts it, however late the grant arrives.
func (s *Scheduler) ReceiveGrant(now time.Time, g Grant) []Action {
	s.beginEvent(now)
	v := s.services[g.Service]
	if v == nil {
		s.returnGrant(g)
		return s.takeActions()
	}
	s.refuseExpired(now, v)
	wanted, known := v.ownWants.timeSent(g.WantSequence)
	expires := wanted.Add(g.TTL)
	usable := known && now.Before(expires.Add(-GrantExpiryMargin)) && !s.frozen && !s.leavingTargets[g.Target] && s.homeOf[g.Target] == g.Home
	index := v.queue.oldestEligible(g.Target)
	if !usable || index < 0 {
		s.returnGrant(g)
		return s.assignAndAnnounce(now, v)
	}
	s.startRequest(now, v, v.queue.remove(index), g.Home, slots.Grant{ID: g.ID, Target: g.Target, Expires: expires})
	return s.assignAndAnnounce(now, v)
}

func (s *Scheduler) returnGrant(g Grant) {
	s.emit(SendRelease{To: g.Home, Target: g.Target, GrantID: g.ID, Cause: slots.Unused})
}

// sendWants tells the homes about the oldest queued requests when they changed,
// and again after wantRefresh.
func (s *Scheduler) sendWants(now time.Time, v *serviceState) {
	last := &v.ownWants
	head, count := uint64(0), min(v.queue.len(), MaxAges)
	if count > 0 {
		head = v.queue.items[0].ID
	}
	refresh := count > 0 && now.Sub(last.lastSentAt) >= wantInterval
	if head == last.oldestID && count == last.lastCount && !refresh {
		return
	}
	last.oldestID, last.lastCount, last.lastSentAt = head, count, now
	last.lastSequence++
	last.record(last.lastSequence, now)
	ages := v.queue.ages(now)
	for _, home := range v.wantReceivers {
		s.emit(SendWant{To: home, Service: v.Name, Sequence: last.lastSequence, Ages: ages})
	}
}
