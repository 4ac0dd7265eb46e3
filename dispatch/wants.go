package dispatch

import (
	"time"

	"github.com/jacinthstall/jacinthstall/slots"
)

// Want announces the ages of the oldest queued requests of a peer.
type Want struct {
	From        string
	Incarnation uint64 // Incarnation of the sender.
	Service     string
	Sequence    uint64
	Ages        []time.Duration
}

// Grant is a slot that a home grants to this instance.
type Grant struct {
	Home         string
	Service      string
	Target       string
	ID           uint64
	WantSequence uint64 // Sequence of the want that led to the grant.
	TTL          time.Duration
}

// peerWant is the newest want of a peer, with its ages converted to local
// times.
type peerWant struct {
	incarnation uint64
	sequence    uint64
	enteredAt   []time.Time
	receivedAt  time.Time
}

// wantHistory is the state of the wants that this instance sends for a
// service.
type wantHistory struct {
	lastSequence uint64
	oldestID     uint64 // ID of the oldest request in the last want.
	lastCount    int
	lastSentAt   time.Time
	sentWants    []sentWant // The newest wants, at least the last maxSentWants.
}

// sentWant is the time at which a want was sent.
type sentWant struct {
	sequence uint64
	sentAt   time.Time
}

// maxSentWants is the number of wants whose time of sending is kept. A grant
// for an older want is returned.
const maxSentWants = 256

// record remembers when a want was sent. It drops the oldest wants once there
// are twice maxSentWants.
func (history *wantHistory) record(sequence uint64, at time.Time) {
	history.sentWants = append(history.sentWants, sentWant{sequence, at})
	if len(history.sentWants) > 2*maxSentWants {
		history.sentWants = append([]sentWant(nil), history.sentWants[maxSentWants:]...)
	}
}

// timeSent returns when a want was sent, and false if that is no longer known.
func (history *wantHistory) timeSent(sequence uint64) (time.Time, bool) {
	for i := len(history.sentWants) - 1; i >= 0; i-- {
		if history.sentWants[i].sequence == sequence {
			return history.sentWants[i].sentAt, true
		}
	}
	return time.Time{}, false
}

// ReceiveWant handles a want from a peer. A want that is not newer than the
// last one from this peer is ignored.
func (s *Scheduler) ReceiveWant(now time.Time, message Want) []Action {
	s.beginEvent(now)
	svc := s.services[message.Service]
	if svc == nil {
		return s.takeActions()
	}
	last := svc.peerWants[message.From]
	if last != nil && (message.Incarnation < last.incarnation || (message.Incarnation == last.incarnation && message.Sequence <= last.sequence)) {
		return s.takeActions()
	}
	next := &peerWant{incarnation: message.Incarnation, sequence: message.Sequence, receivedAt: now}
	for _, age := range message.Ages[:min(len(message.Ages), MaxAges)] {
		next.enteredAt = append(next.enteredAt, now.Add(-age))
	}
	svc.peerWants[message.From] = next
	return s.assignAndAnnounce(now, svc)
}

// PeerUnresponsive drops the wants of a peer that did not respond to a
// message.
func (s *Scheduler) PeerUnresponsive(now time.Time, peer string) []Action {
	s.beginEvent(now)
	for _, svc := range s.services {
		delete(svc.peerWants, peer)
	}
	return s.takeActions()
}

// oldestWant returns the peer with the oldest announced request and the time
// at which that request entered the system. Ties go to the first name. The
// name is "" if there are no current wants.
func (svc *serviceState) oldestWant(now time.Time) (string, time.Time) {
	best, entered := "", time.Time{}
	for peer, w := range svc.peerWants {
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

// grantToPeer grants a free slot of a target to a peer for its oldest
// announced request.
func (s *Scheduler) grantToPeer(now time.Time, svc *serviceState, peer string, entered time.Time, target string) {
	grant, err := s.ledger.Acquire(now, target, peer, now.Add(s.config.GrantTTL))
	if err != nil {
		return
	}
	w := svc.peerWants[peer]
	w.enteredAt = w.enteredAt[1:]
	s.emit(SendGrant{To: peer, Service: svc.Name, Target: target, GrantID: grant.ID, WantSequence: w.sequence, TTL: s.config.GrantTTL, Age: now.Sub(entered)})
}

// ReceiveGrant handles a slot granted by a home. It starts the oldest request
// that may use the slot, or returns the slot. The time to live counts from the
// sending of the want. That is earlier than the start of the home's own count,
// so the grant never outlives the home's record of it, however late it
// arrives.
func (s *Scheduler) ReceiveGrant(now time.Time, grant Grant) []Action {
	s.beginEvent(now)
	svc := s.services[grant.Service]
	if svc == nil {
		s.returnGrant(grant)
		return s.takeActions()
	}
	s.refuseExpired(now, svc)
	wanted, known := svc.ownWants.timeSent(grant.WantSequence)
	expires := wanted.Add(grant.TTL)
	usable := known && now.Before(expires.Add(-GrantExpiryMargin)) && !s.frozen && !s.leavingTargets[grant.Target] && s.homeOf[grant.Target] == grant.Home
	index := svc.queue.oldestEligible(grant.Target)
	if !usable || index < 0 {
		s.returnGrant(grant)
		return s.assignAndAnnounce(now, svc)
	}
	s.startRequest(now, svc, svc.queue.remove(index), grant.Home, slots.Grant{ID: grant.ID, Target: grant.Target, Expires: expires})
	return s.assignAndAnnounce(now, svc)
}

// returnGrant releases a granted slot that cannot be used.
func (s *Scheduler) returnGrant(grant Grant) {
	s.emit(SendRelease{To: grant.Home, Target: grant.Target, GrantID: grant.ID, Cause: slots.Unused})
}

// sendWants announces the oldest queued requests to the homes when they have
// changed, and repeats the announcement every wantInterval.
func (s *Scheduler) sendWants(now time.Time, svc *serviceState) {
	last := &svc.ownWants
	head, count := uint64(0), min(svc.queue.len(), MaxAges)
	if count > 0 {
		head = svc.queue.items[0].ID
	}
	refresh := count > 0 && now.Sub(last.lastSentAt) >= wantInterval
	if head == last.oldestID && count == last.lastCount && !refresh {
		return
	}
	last.oldestID, last.lastCount, last.lastSentAt = head, count, now
	last.lastSequence++
	last.record(last.lastSequence, now)
	ages := svc.queue.ages(now)
	for _, home := range svc.wantReceivers {
		s.emit(SendWant{To: home, Service: svc.Name, Sequence: last.lastSequence, Ages: ages})
	}
}
