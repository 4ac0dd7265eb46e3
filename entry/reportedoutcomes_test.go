package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/internal/loopback"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/standin/targetd"
)

func startTarget(t *testing.T, o targetd.Options) (*targetd.Target, string) {
	t.Helper()
	// Another process may take a port of 127.0.0.1 while the target is down.
	l, err := targetd.Listen(loopback.Host()+":0", 0)
	require.NoError(t, err)
	target, h := targetd.NewServer(o, l)
	go func() { _ = h.Run() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_ = h.Shutdown(ctx)
		_ = l.Close()
	})
	return target, l.Addr().String()
}

// reportedOutcomes holds the outcomes that callers were told, by key.
type reportedOutcomes struct {
	mu   sync.Mutex
	keys map[string][]outcome.Executed
}

func (reported *reportedOutcomes) add(key string, executed outcome.Executed) {
	reported.mu.Lock()
	defer reported.mu.Unlock()
	reported.keys[key] = append(reported.keys[key], executed)
}

// sendFaulty sends one request with a key and returns the reported outcome.
// When the transfer of the body is aborted, the response head counts.
func sendFaulty(t *testing.T, inst *Instance, key, fault, deadline string) outcome.Executed {
	r, err := http.NewRequest("POST", "http://"+inst.settings.CallerAddress+"/writes/"+key, strings.NewReader(key))
	if !assert.NoError(t, err) {
		return outcome.Unknown
	}
	r.Header.Set(outcome.HeaderIdempotencyKey, key)
	r.Header.Set(outcome.HeaderDeadline, deadline)
	r.Header.Set(targetd.HeaderFault, fault)
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return outcome.Unknown
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return outcome.Executed(response.Header.Get(outcome.HeaderExecuted))
}

// runWithFaults sends 400 keys several times through three instances to targets
// that crash, shed, truncate and respond late. It returns what callers were
// told and what targets executed.
func runWithFaults(t *testing.T, ignoreKeys bool) (reportedByKey map[string][]outcome.Executed, runs map[string]int) {
	faults := targetd.DefaultFaults()
	faults.DownMs, faults.LateMs = 50, 300
	var targets []*targetd.Target
	var addresses []string
	for i := range 4 {
		target, address := startTarget(t, targetd.Options{Name: fmt.Sprint(i), Slots: 3, ServiceTime: 5 * time.Millisecond, Faults: faults})
		targets, addresses = append(targets, target), append(addresses, address)
	}
	var instances []*Instance
	for _, name := range []string{"a-1", "b-1", "c-1"} {
		inst := startInstance(t, name, addresses...)
		inst.ignoreIdempotencyKeys = ignoreKeys
		instances = append(instances, inst)
	}
	connectPeers(t, instances...)
	reported := &reportedOutcomes{keys: map[string][]outcome.Executed{}}
	var wait sync.WaitGroup
	for worker := range 8 {
		random := rand.New(rand.NewPCG(7, uint64(worker)))
		wait.Go(func() {
			for i := range 50 {
				key := fmt.Sprintf("%s.%d-%d", instances[random.IntN(3)].keyPrefix(), worker, i)
				kinds := []string{"", "", "", "crash", "truncate", "truncate-chunks", "late"}
				kind := kinds[random.IntN(len(kinds))]
				for range 1 + random.IntN(3) {
					reported.add(key, sendFaulty(t, instances[random.IntN(3)], key, kind, "200"))
				}
			}
		})
	}
	wait.Wait()
	runs = map[string]int{}
	for _, target := range targets {
		for key, n := range target.Report().Executions {
			runs[key] += n
		}
	}
	return reported.keys, runs
}

func executedMoreThanOnce(runs map[string]int) int {
	n := 0
	for _, times := range runs {
		if times > 1 {
			n++
		}
	}
	return n
}

// Requirements R4 and R5 over sockets: a key that was last reported as not
// executed must not have been executed, one that was reported with a response
// must have been executed, and none may be executed twice. When keys are ignored,
// some are executed twice.
func TestReportedOutcomesMatchExecutions(t *testing.T) {
	_, runs := runWithFaults(t, true)
	t.Logf("keys ignored: %d of 400 executed more than once", executedMoreThanOnce(runs))
	require.NotZero(t, executedMoreThanOnce(runs), "the test must see keys executed twice when keys are ignored")
	reportedByKey, runs := runWithFaults(t, false)
	assert.Zero(t, executedMoreThanOnce(runs))
	counts := map[outcome.Executed]int{}
	for key, outcomes := range reportedByKey {
		last := outcomes[len(outcomes)-1]
		for _, executed := range outcomes {
			counts[executed]++
		}
		assert.LessOrEqual(t, runs[key], 1, key)
		if last == outcome.No {
			assert.Zero(t, runs[key], "%s: told %v", key, outcomes)
		}
		for _, executed := range outcomes {
			if executed == outcome.Yes {
				assert.Equal(t, 1, runs[key], "%s: told %v", key, outcomes)
			}
		}
	}
	assert.Len(t, reportedByKey, 400)
	for _, executed := range []outcome.Executed{outcome.Yes, outcome.Unknown} {
		assert.NotZero(t, counts[executed], executed)
	}
	t.Log(counts)
}
