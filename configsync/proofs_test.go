package configsync

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/standin/platformd"
)

// inForceWithin is the time in which an accepted change must be in force.
const inForceWithin = 3 * time.Second

// faultScenario is one failure scenario. run returns what is wrong, empty when the
// guarantee held. It must find a fault with the mechanisms of naive turned off.
type faultScenario struct {
	name     string
	disabled disabledMechanisms
	run      func(f *fleet) []string
}

// waitInForce waits for inForceWithin and returns the instances that are behind.
func waitInForce(f *fleet, version uint64) []string {
	time.Sleep(inForceWithin)
	return append(f.instancesBehind(version), f.reversions()...)
}

func (f *fleet) reversions() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string{}, f.reverted...)
}

var faultScenarios = []faultScenario{
	{"no fault", disabledMechanisms{polling: true, noAntiEntropy: true}, func(f *fleet) []string {
		return waitInForce(f, f.publish(1))
	}},
	{"slow platform", disabledMechanisms{polling: true, noAntiEntropy: true}, func(f *fleet) []string {
		// Calls take nearly as long as the client waits for them.
		f.platform.SetFaults(platformd.Faults{DelayMs: 1900})
		time.Sleep(2500 * time.Millisecond)
		return waitInForce(f, f.publish(1))
	}},
	{"outage after one domain read the change", disabledMechanisms{noAntiEntropy: true}, func(f *fleet) []string {
		f.setAll(f.platformCut, true, "d1", "d2", "d3", "d4", "d5")
		time.Sleep(watchTimeout)
		version := f.publish(1)
		time.Sleep(time.Millisecond)
		f.platform.SetFaults(platformd.Faults{Outage: true})
		return waitInForce(f, version)
	}},
	{"lost answers", disabledMechanisms{blindPublisher: true}, func(f *fleet) []string {
		doc, base, err := f.publisher.Current(f.t.Context())
		require.NoError(f.t, err)
		doc = edit(f.t, doc, 1, "moved")
		f.platform.SetFaults(platformd.Faults{LoseResponses: 3}) // Segment, manifest and head record.
		if f.disabled.blindPublisher {
			err = publishWithoutReadBack(f.t, f.publisher, doc)
		} else {
			_, err = f.publisher.Publish(f.t.Context(), doc, base)
		}
		if err != nil {
			return []string{"an edit that is in force was reported as failed: " + err.Error()}
		}
		return waitInForce(f, base+1)
	}},
	{"two operators racing", disabledMechanisms{blindPublisher: true}, func(f *fleet) []string {
		lost := publishConcurrently(f.t, f.publisher, func(ctx context.Context, doc []byte, base uint64) error {
			if f.disabled.blindPublisher {
				_, base, _ = f.publisher.Current(ctx)
			}
			_, err := f.publisher.Publish(ctx, doc, base)
			return err
		})
		v, err := f.publisher.Snapshot(f.t.Context())
		require.NoError(f.t, err)
		return append(lost, waitInForce(f, v.Version())...)
	}},
	{"platform restored to an older state", disabledMechanisms{anyVersion: true, noAntiEntropy: true}, func(f *fleet) []string {
		f.platform.Checkpoint("old")
		version := f.publish(1)
		time.Sleep(10 * time.Second)
		f.platform.Restore("old")
		time.Sleep(10 * time.Second)
		wrong := waitInForce(f, version)
		if f.platformVersion() < version {
			wrong = append(wrong, "platform")
		}
		return wrong
	}},
	{"older state on the platform is written back", disabledMechanisms{noWriteBack: true}, func(f *fleet) []string {
		f.platform.Checkpoint("old")
		f.publish(1)
		version := f.publish(2)
		time.Sleep(inForceWithin)
		f.platform.Restore("old")
		time.Sleep(2 * WatchWait)
		if f.platformVersion() < version {
			return []string{"platform"}
		}
		return waitInForce(f, f.publish(3))
	}},
	{"restart of the platform with old state", disabledMechanisms{anyVersion: true, noAntiEntropy: true}, func(f *fleet) []string {
		f.platform.Checkpoint("old")
		version := f.publish(1)
		time.Sleep(10 * time.Second)
		f.platform.SetFaults(platformd.Faults{Outage: true})
		time.Sleep(10 * time.Second)
		f.platform.Restore("old")
		f.platform.SetFaults(platformd.Faults{})
		time.Sleep(10 * time.Second)
		return waitInForce(f, version)
	}},
	{"instance restarted while the platform is down", disabledMechanisms{noFetch: true}, func(f *fleet) []string {
		version := f.publish(1)
		time.Sleep(inForceWithin)
		f.platform.SetFaults(platformd.Faults{Outage: true})
		ctx, cancel := context.WithCancel(context.Background())
		f.t.Cleanup(cancel)
		f.restart(ctx, "d2-i1")
		defer cancel()
		return waitInForce(f, version)
	}},
	{"instance restarted while the platform holds old state", disabledMechanisms{noFetch: true, noWriteBack: true}, func(f *fleet) []string {
		f.platform.Checkpoint("old")
		version := f.publish(1)
		time.Sleep(inForceWithin)
		f.platform.Restore("old")
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		in := f.restart(ctx, "d2-i1")
		time.Sleep(inForceWithin)
		in.mu.Lock()
		defer in.mu.Unlock()
		if !in.inForceAt[1].IsZero() {
			return []string{"the restarted instance used the old state"}
		}
		return waitInForce(f, version)
	}},
	{"domain cut off and reconnected", disabledMechanisms{polling: true, noAntiEntropy: true}, func(f *fleet) []string {
		before := f.publish(1)
		time.Sleep(2 * inForceWithin)
		f.setAll(f.cut, true, "d3")
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f.restart(ctx, "d3-i0")
		version := f.publish(2)
		time.Sleep(inForceWithin)
		wrong := f.instancesBehind(before)
		for _, name := range f.instancesBehind(version) {
			if f.instances[name].self.Domain != "d3" {
				wrong = append(wrong, name)
			}
		}
		f.setAll(f.cut, false, "d3")
		return append(wrong, waitInForce(f, version)...)
	}},
}

// Each change must be in force at every reachable instance within 3 s and must
// never revert, through each failure; the scenario must show a fault when the
// mechanism that guards against it is off.
func TestVersionReachesAllInstancesAndNeverReverts(t *testing.T) {
	for _, p := range faultScenarios {
		t.Run(p.name, func(t *testing.T) {
			runFleet(t, 6, 2, p.disabled, func(f *fleet) {
				assert.NotEmpty(t, p.run(f), "the scenario must fail with %+v", p.disabled)
			})
			runFleet(t, 6, 2, disabledMechanisms{}, func(f *fleet) {
				assert.Empty(t, p.run(f))
			})
		})
	}
}

// A change must reach a whole domain of 143 instances through three levels,
// also when members of the first level do not answer. Without adoption and
// anti-entropy, their subtrees miss it.
func TestRelayTreeOf143Instances(t *testing.T) {
	run := func(f *fleet) []string {
		relays := newRelayTree("d0", f.members).relays
		f.setAll(f.dead, true, relays[0], relays[5])
		return waitInForce(f, f.publish(1))
	}
	runFleet(t, 1, 143, disabledMechanisms{noAdoption: true, noAntiEntropy: true}, func(f *fleet) {
		assert.NotEmpty(t, run(f))
	})
	runFleet(t, 1, 143, disabledMechanisms{noAntiEntropy: true}, func(f *fleet) {
		assert.Empty(t, run(f), "adoption alone is enough")
	})
	runFleet(t, 1, 143, disabledMechanisms{}, func(f *fleet) {
		f.pushCount, f.maxDepth = 0, 0
		start := time.Now()
		version := f.publish(1)
		assert.Empty(t, waitInForce(f, version))
		assert.Equal(t, uint32(3), f.maxDepth, "levels of the tree")
		assert.LessOrEqual(t, f.pushCount, 141+2*(FanOut+1), "each instance gets the change about once")
		t.Logf("in force at 143 instances after %v, %d pushes", f.maxDelay(version, start), f.pushCount)
	})
}

// A move of all blocks must reach everyone in time without a message above the
// size of a value.
func TestLargeMoveReachesAllInstances(t *testing.T) {
	runFleet(t, 6, 2, disabledMechanisms{}, func(f *fleet) {
		big := testDocument(20000)
		_, base, err := f.publisher.Current(context.Background())
		require.NoError(t, err)
		base, err = f.publisher.Publish(context.Background(), encodeDocument(t, big), base)
		require.NoError(t, err)
		assert.Empty(t, waitInForce(f, base))
		for i := range big.Blocks {
			big.Blocks[i].Site = "evacuated"
		}
		version, err := f.publisher.Publish(context.Background(), encodeDocument(t, big), base)
		require.NoError(t, err)
		assert.Empty(t, waitInForce(f, version))
		assert.LessOrEqual(t, f.largestMessage, kv.MaxValueBytes+1024)
	})
}

// More missing deltas than the head record carries must be made up for by
// fetching segments.
func TestCatchUpBeyondMaxDeltas(t *testing.T) {
	runFleet(t, 2, 2, disabledMechanisms{}, func(f *fleet) {
		f.setAll(f.cut, true, "d1")
		var version uint64
		for i := range MaxDeltas + 10 {
			version = f.publish(i)
			time.Sleep(time.Second)
		}
		f.setAll(f.cut, false, "d1")
		assert.Empty(t, waitInForce(f, version))
	})
}
