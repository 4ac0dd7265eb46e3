package wiretarget

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"

	"github.com/jacinthstall/jacinthstall/platform"
)

// Kill ends the target as the end of its process does: nothing is executed or
// finished from then on. The caller closes its listener and connections.
func (target *Target) Kill() {
	target.mu.Lock()
	defer target.mu.Unlock()
	if !target.isKilled() {
		close(target.killed)
	}
}

func (target *Target) isKilled() bool {
	select {
	case <-target.killed:
		return true
	default:
		return false
	}
}

// Freeze stops the target until thaw is called: requests wait, also those whose
// connection ends meanwhile, and executions do not finish.
func (target *Target) Freeze() (thaw func()) {
	target.mu.Lock()
	defer target.mu.Unlock()
	thawed := make(chan struct{})
	target.thawed = thawed
	return func() { close(thawed) }
}

// awaitThaw waits while the target is frozen.
func (target *Target) awaitThaw() {
	target.mu.Lock()
	thawed := target.thawed
	target.mu.Unlock()
	<-thawed
}

// SetNoise sets the probability that the connection's latest response once more, or
// a response to another request, precedes a response.
func (target *Target) SetNoise(probability float64) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.noise, target.sent = probability, map[net.Conn]string{}
}

// maxNoiseBytes limits the bodies of repeated responses.
const maxNoiseBytes = 1 << 10

// addNoise writes an earlier response or one to another request, with the
// probability that SetNoise has set, and remembers the response that follows.
func (target *Target) addNoise(c *app.RequestContext, id, stamp string, body string) {
	target.mu.Lock()
	noise, conn := target.noise, net.Conn(c.GetConn())
	if noise == 0 {
		target.mu.Unlock()
		return
	}
	if len(body) > maxNoiseBytes {
		body = ""
	}
	previous := target.sent[conn]
	head := fmt.Sprintf("HTTP/1.1 %d Noise\r\n%s: %s\r\n", c.Response.StatusCode(), platform.HeaderRequestID, id)
	for _, name := range []string{platform.HeaderNotExecuted, platform.HeaderServerLoad} {
		if value := c.Response.Header.Get(name); value != "" {
			head += name + ": " + value + "\r\n"
		}
	}
	if stamp != "" {
		head += platform.HeaderServerStamp + ": " + stamp + "\r\n"
	}
	target.sent[conn] = head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	target.mu.Unlock()
	switch {
	case rand.Float64() >= noise:
	case previous != "" && rand.IntN(2) == 0:
		target.writeRaw(c, previous, false)
	default:
		target.writeRaw(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: other-%s\r\n%s: s\r\nContent-Length: 5\r\n\r\nextra",
			platform.HeaderRequestID, id, platform.HeaderServerStamp), false)
	}
}

// RepeatRefusals makes the target refuse one in n requests although it has free
// slots, and write the last refusal of a connection once more when the next response
// is expected there. 0 ends this fault.
func (target *Target) RepeatRefusals(n int) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.refuseEvery, target.untilRefusal = n, n
	target.refusals = map[network.Conn]string{}
}

// RepeatedRefusals returns the number of refusals that were written once more.
func (target *Target) RepeatedRefusals() int {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.repeated
}

// refusesNext reports whether RepeatRefusals selects the request for a refusal.
func (target *Target) refusesNext() bool {
	target.mu.Lock()
	defer target.mu.Unlock()
	if target.refuseEvery == 0 {
		return false
	}
	if target.untilRefusal--; target.untilRefusal > 0 {
		return false
	}
	target.untilRefusal = target.refuseEvery
	return true
}

// takeRefusal removes and returns the refusal that is to be written once more on a
// connection, or "".
func (target *Target) takeRefusal(c network.Conn) string {
	target.mu.Lock()
	defer target.mu.Unlock()
	refusal := target.refusals[c]
	if refusal != "" {
		delete(target.refusals, c)
		target.repeated++
	}
	return refusal
}

// keepRefusal remembers a refusal for takeRefusal.
func (target *Target) keepRefusal(c *app.RequestContext, status int) {
	target.mu.Lock()
	defer target.mu.Unlock()
	if target.refuseEvery > 0 {
		target.refusals[c.GetConn()] = fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status,
			platform.HeaderRequestID, c.Response.Header.Peek(platform.HeaderRequestID), platform.HeaderNotExecuted,
			platform.HeaderServerLoad, c.Response.Header.Peek(platform.HeaderServerLoad))
	}
}
