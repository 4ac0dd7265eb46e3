package entry

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/outcome"
)

// repeatingTarget refuses each fourth arrival and executes the others. It writes each
// refusal once more on the same connection, when the next response is expected there.
type repeatingTarget struct {
	mu         sync.Mutex
	arrivals   int
	repeats    map[net.Conn]bool
	executions map[string]int // By request body.
}

func newRepeatingTarget() *repeatingTarget {
	return &repeatingTarget{repeats: map[net.Conn]bool{}, executions: map[string]int{}}
}

func (target *repeatingTarget) handle(_ *http.Request, body []byte, c net.Conn) bool {
	target.mu.Lock()
	defer target.mu.Unlock()
	refusal := httpResponse("503 X", outcome.HeaderExecuted+": no\r\n", "")
	answer := ""
	if target.repeats[c] {
		delete(target.repeats, c)
		answer = refusal
	}
	if target.arrivals++; target.arrivals%4 == 1 {
		target.repeats[c] = true
		return write(c, answer+refusal)
	}
	target.executions[string(body)]++
	return write(c, answer+httpResponse("200 OK", "", string(body)))
}

func (target *repeatingTarget) executed(body string) int {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.executions[body]
}

const repeatedRefusalRequests = 40

// Guards against taking a refusal that a target writes once more on a kept
// connection for the response to the next request there, which it executes.
func TestRepeatedRefusalIsNotResponseToNextRequest(t *testing.T) {
	target := newRepeatingTarget()
	inst := startInstance(t, "a", startScriptedTarget(t, target.handle))
	refused, foreign := 0, 0
	for i := range repeatedRefusalRequests {
		id := fmt.Sprint("request-", i)
		response := call(t, inst, "POST", "/writes/x", "", strings.NewReader(id))
		if response.header.Get(outcome.HeaderExecuted) == string(outcome.No) && target.executed(id) > 0 {
			refused++
		}
		if response.status == 200 && response.body != id {
			foreign++
		}
	}
	assert.Zero(t, refused, "not executed by the response, and executed")
	assert.Zero(t, foreign, "response of another request")
}

// Guards against executing a request with a key twice because a repeated refusal was
// taken for its response, which removes the record of the key.
func TestRepeatedRefusalDoesNotReleaseKey(t *testing.T) {
	target := newRepeatingTarget()
	inst := startInstance(t, "a", startScriptedTarget(t, target.handle))
	twice := 0
	for i := range repeatedRefusalRequests {
		id := fmt.Sprint("request-", i)
		key := fmt.Sprint(inst.keyPrefix(), ".", i)
		for range 3 {
			response := call(t, inst, "POST", "/writes/x", key, strings.NewReader(id))
			if response.header.Get(outcome.HeaderExecuted) != string(outcome.No) {
				break
			}
		}
		if target.executed(id) > 1 {
			twice++
		}
	}
	assert.Zero(t, twice, "requests with a key that were executed more than once")
}
