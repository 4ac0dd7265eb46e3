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

// Guards against taking a response that a target writes once more on a kept
// connection for the response to the next request there.
func TestRepeatedResponseIsNotResponseToNextRequest(t *testing.T) {
	var mu sync.Mutex
	arrivals := 0
	repeats := map[net.Conn]string{}
	inst := startInstance(t, "a", startScriptedTarget(t, func(_ *http.Request, body []byte, c net.Conn) bool {
		mu.Lock()
		defer mu.Unlock()
		answer := repeats[c]
		delete(repeats, c)
		own := httpResponse("200 OK", "", string(body))
		if arrivals++; arrivals%4 == 1 {
			repeats[c] = own
		}
		return write(c, answer+own)
	}))
	foreign := 0
	for i := range repeatedRefusalRequests {
		id := fmt.Sprint("request-", i)
		if response := call(t, inst, "POST", "/writes/x", "", strings.NewReader(id)); response.status == 200 && response.body != id {
			foreign++
		}
	}
	assert.Zero(t, foreign, "requests that got the response to another one")
}

// Guards against taking a refusal for the response to the request behind the refused
// one: the refused request got a response that the target had written once more.
func TestRefusalBehindARepeatedResponseIsNotBelieved(t *testing.T) {
	var mu sync.Mutex
	executions := map[string]int{}
	last, late := map[net.Conn]string{}, map[net.Conn]string{}
	inst := startInstance(t, "a", startScriptedTarget(t, func(_ *http.Request, body []byte, c net.Conn) bool {
		mu.Lock()
		defer mu.Unlock()
		if answer := late[c]; answer != "" { // The refusal of the request before was late.
			delete(late, c)
			executions[string(body)]++
			return write(c, answer+httpResponse("200 OK", "", string(body)))
		}
		if answer := last[c]; answer != "" {
			delete(last, c)
			late[c] = httpResponse("503 X", outcome.HeaderExecuted+": no\r\n", "")
			return write(c, answer)
		}
		executions[string(body)]++
		last[c] = httpResponse("200 OK", "", string(body))
		return write(c, last[c])
	}))
	refused := 0
	for i := range repeatedRefusalRequests {
		id := fmt.Sprint("request-", i)
		response := call(t, inst, "POST", "/writes/x", "", strings.NewReader(id))
		mu.Lock()
		if response.header.Get(outcome.HeaderExecuted) == string(outcome.No) && executions[id] > 0 {
			refused++
		}
		mu.Unlock()
	}
	assert.Zero(t, refused, "not executed by the response, and executed")
}
