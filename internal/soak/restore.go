package soak

import (
	"bufio"
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

// Names of the kinds of faults in which the store is restored.
const (
	restoreKind         = "store-restore"
	leaveAndRestoreKind = "leave-and-restore"
)

// restores reports whether the store is restored in faults of the kind.
func (kind faultKind) restores() bool {
	return kind.name == restoreKind || kind.name == leaveAndRestoreKind
}

const (
	minCopyAge = time.Second
	maxCopyAge = 8 * time.Second
	// maxRestoreOutage is the longest outage of a store that is restored.
	maxRestoreOutage = time.Second
	// rewriteTime is the time after the return of the store within which operators
	// and targets write their records again.
	rewriteTime = 2 * time.Second
)

// restoreStore takes the store away for a moment, restores a copy that is some
// seconds old, and has the records of the operators and targets written again. A
// restore within the rewriting of another one would lose what that has written, but
// not its own; only one runs at a time.
func (deployment *Deployment) restoreStore(selector int, duration time.Duration) {
	if !deployment.restoring.CompareAndSwap(false, true) {
		return
	}
	defer deployment.restoring.Store(false)
	deployment.restoreCopy(minCopyAge+time.Duration(selector)*time.Millisecond%(maxCopyAge-minCopyAge), selector, duration)
}

// restoreCopy restores a copy of an age. The caller must have set restoring.
func (deployment *Deployment) restoreCopy(age time.Duration, selector int, duration time.Duration) {
	outage := min(duration, maxRestoreOutage)
	random := rand.New(rand.NewPCG(uint64(selector), 3))
	deployment.recordFault(faultStore, nil, func() {
		deployment.store.Restore(age, outage)
		deployment.log("store restored from a copy %s old after %s, era %d", age, outage, deployment.store.Era())
		deployment.rewriteRecords(random)
	})
}

// rewriteRecords writes the records of the operators and the targets again, each
// after a random part of rewriteTime.
func (deployment *Deployment) rewriteRecords(random *rand.Rand) {
	var writers sync.WaitGroup
	write := func(record func()) {
		delay := time.Duration(random.Int64N(int64(rewriteTime)))
		writers.Go(func() { time.Sleep(delay); record() })
	}
	write(func() {
		deployment.configMu.Lock()
		defer deployment.configMu.Unlock()
		deployment.writeConfig()
	})
	write(deployment.rewriteEvacuations)
	for index, seat := range deployment.seats {
		write(func() { deployment.rewriteTargetRecord(index, seat) })
	}
	writers.Wait()
	deployment.deleteReplacedTargets()
}

func (deployment *Deployment) rewriteEvacuations() {
	evacuated, _ := deployment.evacuatedDomain.Load().(string)
	for _, domain := range domainNames {
		if domain == evacuated {
			deployment.store.Put(wiresite.EvacuationKey(domain), []byte("{}"))
		} else {
			deployment.store.Delete(wiresite.EvacuationKey(domain))
		}
	}
}

func (deployment *Deployment) rewriteTargetRecord(index int, seat *targetSeat) {
	state := "ready"
	if _, draining := deployment.drainingTargets.Load(index); draining {
		state = "draining"
	}
	_, id := seat.current()
	deployment.writeTargetRecord(seat, id, state)
}

// deleteReplacedTargets deletes the records of targets that were replaced after the
// copy was taken.
func (deployment *Deployment) deleteReplacedTargets() {
	var current []string
	for _, seat := range deployment.seats {
		_, id := seat.current()
		current = append(current, wiresite.TargetKey(id))
	}
	for _, key := range deployment.store.Keys(wiresite.TargetKey("")) {
		if !slices.Contains(current, key) {
			deployment.store.Delete(key)
		}
	}
}

// checkConfigVersions checks in the instances' logs that no process went back to an
// older version of the configuration.
func (deployment *Deployment) checkConfigVersions() {
	for _, inst := range deployment.instances {
		file, err := os.Open(filepath.Join(inst.dir, "log"))
		if err != nil {
			deployment.addViolation("configuration versions never go back", "%s", err)
			continue
		}
		var last struct {
			Fields struct {
				Event   int
				Version uint64
			}
			Timestamp time.Time
		}
		scanner := bufio.NewScanner(file)
		for scanner.Scan() {
			line := last
			if json.Unmarshal(scanner.Bytes(), &line) != nil || line.Fields.Event != events.SteeringConfigInForce.Number {
				continue // The end of the process may have cut off a line.
			}
			if line.Fields.Version < last.Fields.Version && !inst.startedBetween(last.Timestamp, line.Timestamp) {
				deployment.addViolation("configuration versions never go back", "%s: %d after %d", inst.name, line.Fields.Version, last.Fields.Version)
			}
			last = line
		}
		if err := scanner.Err(); err != nil { // Lines after it were not checked.
			deployment.addViolation("configuration versions never go back", "%s: %s", inst.name, err)
		}
		_ = file.Close()
	}
}
