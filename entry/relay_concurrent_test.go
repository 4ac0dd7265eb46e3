package entry

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against relays that lose or mix up answers when many are under way,
// as happened on pooled connections.
func TestConcurrentRelaysGetTheirResponses(t *testing.T) {
	target, _ := startCountingTarget(t)
	a, b := startInstance(t, "a-1", target), startInstance(t, "b-1", target)
	connectPeers(t, a, b)
	var wait sync.WaitGroup
	for worker := range 8 {
		wait.Go(func() {
			for i := range 100 {
				body := fmt.Sprint(worker, "-", i)
				key := a.keyPrefix() + "." + body
				assert.Equal(t, "201 answered yes", call(t, b, "POST", "/writes/x", key, strings.NewReader(body)).String())
				assert.Equal(t, "201 answered yes", call(t, b, "POST", "/writes/x", key, strings.NewReader(body)).String())
			}
		})
	}
	wait.Wait()
}
