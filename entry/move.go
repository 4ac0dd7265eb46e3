package entry

import (
	"context"
	"encoding/binary"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/moves"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/slots"
)

// forwardByMove forwards a request that the operators shift to another region. It
// returns nil when the request is served here: it belongs to no move, or the
// move's cap or the other region does not take it now.
func (in *Instance) forwardByMove(ctx context.Context, r *incomingRequest) *response {
	if r.forwards > 0 || len(r.document.Moves) == 0 {
		return nil
	}
	f := r.fingerprint()
	m, ok := moves.Route(r.document.Moves, r.service.Name, in.settings.Region, binary.BigEndian.Uint64(f[:8]))
	if !ok {
		return nil
	}
	instance := in.chooseInstance(m.To, f.String())
	if instance == "" {
		return nil
	}
	r.moveKey = m.Key()
	got := in.forwardTo(ctx, r, instance)
	r.moveKey = ""
	in.events.Emit(events.RequestMoved, log.Fields{"service": r.service.Name, "region": m.To, "to": instance,
		"percent": m.Percent, "reason": got.Reason, "executed": got.Executed})
	if got.Executed == outcome.No && r.retryable() {
		return nil
	}
	return got
}

// chooseInstance chooses a usable instance of a region by rendezvous hashing, or "".
func (in *Instance) chooseInstance(region, key string) string {
	best, weight := "", uint64(0)
	for _, m := range in.members.view().Members {
		if m.Region != region || !m.Usable() {
			continue
		}
		if w := slots.RendezvousWeight(key, m.Name); best == "" || w > weight {
			best, weight = m.Name, w
		}
	}
	return best
}
