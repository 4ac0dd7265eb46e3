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
	Home    string
	Service string
	Target  string
	ID      uint64
	Want    uint64 // Sequence of the want that the grant answers.
	Life    time.Duration
}

// want is the newest announcement of a peer, by the local clock.
type want struct {
	incarnation uint64
	sequence    uint64
	entered     []time.Time
	received    time.Time
}

// announcement is what the homes were told last.
type announcement struct {
	sequence uint64
	head     uint64 // Id of the oldest request.
	count    int
	at       time.Time
	sent     []sentWant // The newest announcements, at most keptWants.
}

// sentWant is when a want was sent.
type sentWant struct {
	sequence uint64
	at       time.Time
}

// keptWants bounds the wants whose time of sending is remembered. A grant that
// answers an older one is returned.
const keptWants = 256

func (a *announcement) record(sequence uint64, at time.Time) {
	a.sent = append(a.sent, sentWant{sequence, at})
	if len(a.sent) > 2*keptWants {
		a.sent = append([]sentWant(nil), a.sent[keptWants:]...)
	}
}

// sentAt returns when a want was sent.
func (a *announcement) sentAt(sequence uint64) (time.Time, bool) {
	for i := len(a.sent) - 1; i >= 0; i-- {
		if a.sent[i].sequence == sequence {
			return a.sent[i].at, true
		}
	}
	return time.Time{}, false
}

// Wanted takes a peer's want. An older one than the last is ignored.
func (s *Scheduler) Wanted(now time.Time, w Want) []Action {
	s.begin(now)
	v := s.services[w.Service]
	if v == nil {
		return s.end()
	}
	last := v.wants[w.From]
	if last != nil && (w.Incarnation < last.incarnation || (w.Incarnation == last.incarnation && w.Sequence <= last.sequence)) {
		return s.end()
	}
	next := &want{incarnation: w.Incarnation, sequence: w.Sequence, received: now}
	for _, age := range w.Ages[:min(len(w.Ages), MaxAges)] {
		next.entered = append(next.entered, now.Add(-age))
	}
	v.wants[w.From] = next
	return s.settle(now, v)
}

// PeerSilent drops the wants of a peer that did not answer a message.
func (s *Scheduler) PeerSilent(now time.Time, peer string) []Action {
	s.begin(now)
	for _, v := range s.services {
		delete(v.wants, peer)
	}
	return s.end()
}

// oldestWant returns the peer with the oldest announced request, the first by
// name among equals, or "".
func (v *service) oldestWant(now time.Time) (string, time.Time) {
	best, entered := "", time.Time{}
	for peer, w := range v.wants {
		if len(w.entered) == 0 || now.Sub(w.received) > wantLife {
			continue
		}
		head := w.entered[0]
		if best == "" || head.Before(entered) || (head.Equal(entered) && peer < best) {
			best, entered = peer, head
		}
	}
	return best, entered
}

// grant gives a free home slot to a peer.
func (s *Scheduler) grant(now time.Time, v *service, peer string, entered time.Time, target string) {
	g, err := s.ledger.Acquire(now, target, peer, now.Add(s.config.GrantLife))
	if err != nil {
		return
	}
	w := v.wants[peer]
	w.entered = w.entered[1:]
	s.emit(SendGrant{To: peer, Service: v.Name, Target: target, Grant: g.ID, Want: w.sequence, Life: s.config.GrantLife, Age: now.Sub(entered)})
}

// Granted takes a slot from a home and starts the oldest request that may use
// it, or returns the slot. The slot's life counts from the sending of the want,
// which is before the home counts it, however late the grant arrives.
func (s *Scheduler) Granted(now time.Time, g Grant) []Action {
	s.begin(now)
	v := s.services[g.Service]
	if v == nil {
		s.giveBack(g)
		return s.end()
	}
	s.dropLate(now, v)
	wanted, known := v.announced.sentAt(g.Want)
	expires := wanted.Add(g.Life)
	usable := known && now.Before(expires.Add(-GrantMargin)) && !s.frozen && !s.leaving[g.Target] && s.homeOf[g.Target] == g.Home
	index := v.queue.oldest(g.Target)
	if !usable || index < 0 {
		s.giveBack(g)
		return s.settle(now, v)
	}
	s.start(now, v, v.queue.remove(index), g.Home, slots.Grant{ID: g.ID, Target: g.Target, Expires: expires})
	return s.settle(now, v)
}

func (s *Scheduler) giveBack(g Grant) {
	s.emit(SendRelease{To: g.Home, Target: g.Target, Grant: g.ID, Cause: slots.Unused})
}

// announce tells the homes about the oldest queued requests when they changed,
// and again after wantRefresh.
func (s *Scheduler) announce(now time.Time, v *service) {
	last := &v.announced
	head, count := uint64(0), min(v.queue.len(), MaxAges)
	if count > 0 {
		head = v.queue.items[0].ID
	}
	refresh := count > 0 && now.Sub(last.at) >= wantRefresh
	if head == last.head && count == last.count && !refresh {
		return
	}
	last.head, last.count, last.at = head, count, now
	last.sequence++
	last.record(last.sequence, now)
	ages := v.queue.ages(now)
	for _, home := range v.homes {
		s.emit(SendWant{To: home, Service: v.Name, Sequence: last.sequence, Ages: ages})
	}
}
