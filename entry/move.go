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

// forwardByMove forwards a request to another region when a move of the
// operators applies to it. It returns nil when the request is to be served
// here: no move applies, or the move's cap or the other region does not accept
// the request now.
func (inst *Instance) forwardByMove(ctx context.Context, request *incomingRequest) *response {
	if request.forwards > 0 || len(request.document.Moves) == 0 {
		return nil
	}
	fingerprint := request.fingerprint()
	move, ok := moves.Route(request.document.Moves, request.service.Name, inst.settings.Region, binary.BigEndian.Uint64(fingerprint[:8]))
	if !ok {
		return nil
	}
	instance := inst.chooseInstance(move.To, fingerprint.String())
	if instance == "" {
		return nil
	}
	request.moveKey = move.Key()
	response := inst.forwardTo(ctx, request, instance)
	request.moveKey = ""
	inst.events.Emit(events.RequestMoved, log.Fields{"service": request.service.Name, "region": move.To, "to": instance,
		"percent": move.Percent, "reason": response.Reason, "executed": response.Executed})
	if response.Executed == outcome.No && request.retryable() {
		return nil
	}
	return response
}

// chooseInstance chooses a usable instance of a region by rendezvous hashing.
// It returns "" when there is none.
func (inst *Instance) chooseInstance(region, key string) string {
	best, weight := "", uint64(0)
	for _, m := range inst.members.view().Members {
		if m.Region != region || !m.Usable() {
			continue
		}
		if w := slots.RendezvousWeight(key, m.Name); best == "" || w > weight {
			best, weight = m.Name, w
		}
	}
	return best
}
