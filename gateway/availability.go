package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/steering"
)

// availabilityRefusal means that a relay did not send a request because of what the
// target has stated to it.
type availabilityRefusal struct {
	startedMs int64 // Start time of the target's incarnation.
	leaving   bool
	pause     time.Duration // Rest of the pause; valid unless leaving is set.
}

func (refusal *availabilityRefusal) Error() string {
	if refusal.leaving {
		return "target is leaving"
	}
	return "target has asked the relay for a pause, which lasts for " + refusal.pause.String()
}

// Is makes an availabilityRefusal equivalent to errRelayRefused.
func (refusal *availabilityRefusal) Is(err error) bool { return err == errRelayRefused }

// setAvailabilityRefusal adds a refusal because of the target's statements to the
// response to a peer.
func setAvailabilityRefusal(header http.Header, target *steering.Target, admission balance.Admission) {
	started := strconv.FormatInt(target.StartedMs, 10)
	if admission.Leaving {
		header.Set(headerRelayLeaving, started)
		return
	}
	header.Set(headerRelayPause, started+";"+strconv.FormatInt(admission.Pause.Milliseconds(), 10))
}

// readAvailabilityRefusal returns the refusal in a relay's response; nil if it
// contains none.
func readAvailabilityRefusal(header http.Header) *availabilityRefusal {
	if started, err := strconv.ParseInt(header.Get(headerRelayLeaving), 10, 64); err == nil {
		return &availabilityRefusal{startedMs: started, leaving: true}
	}
	text, pause, _ := strings.Cut(header.Get(headerRelayPause), ";")
	started, err := strconv.ParseInt(text, 10, 64)
	ms, pauseErr := strconv.ParseInt(pause, 10, 32)
	if err != nil || pauseErr != nil || ms < 0 {
		return nil
	}
	return &availabilityRefusal{startedMs: started, pause: time.Duration(ms) * time.Millisecond}
}
