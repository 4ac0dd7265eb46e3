package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/internal/loopback"
	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

// poisonKind is the name of the kind of fault in which a request crashes its targets.
const poisonKind = "poison"

const (
	poisonRoute    = "poison"
	poisonServices = 3 // The route of the requests moves from one to the next.
	// poisonTargets is the number of targets of each service.
	poisonTargets  = 3
	poisonSends    = 12
	poisonInterval = 1100 * time.Millisecond
	poisonDowntime = 500 * time.Millisecond // Of a target after a crash.
	// maxLateCrashes is the number of crashes by one request that are allowed later than
	// stabilityTime after the third.
	maxLateCrashes = 3
)

// poisonTarget is a target that every request to poisonRoute crashes. It returns at the
// same address.
type poisonTarget struct {
	deployment *Deployment
	id         string
	address    string

	mu       sync.Mutex
	listener *killableListener
}

// poisonRecorder holds the crashes of targets by the path of the request.
type poisonRecorder struct {
	mu      sync.Mutex
	crashes map[string][]poisonCrash
}

type poisonCrash struct {
	at     time.Time
	id     string // Of the request.
	target string
}

func poisonService(number int64) string { return fmt.Sprint("poison", number%poisonServices) }

// startPoisonTargets starts the targets for requests that crash them.
func (deployment *Deployment) startPoisonTargets() error {
	for i := range int64(poisonServices * poisonTargets) {
		target := &poisonTarget{deployment: deployment, id: fmt.Sprint("poison-target", i), address: loopback.Host() + targetPort}
		if err := target.start(); err != nil {
			return err
		}
		deployment.closers = append(deployment.closers, target.kill)
		deployment.store.Put(wiresite.TargetKey(target.id), wiresite.TargetRecord(poisonService(i), domainNames[i%int64(len(domainNames))], target.address, "ready", targetSlots))
	}
	return nil
}

func (target *poisonTarget) start() error {
	listener, err := net.Listen("tcp", target.address)
	if err != nil {
		return err
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	target.listener = &killableListener{Listener: listener, conns: map[net.Conn]struct{}{}}
	server := &http.Server{Handler: target}
	go func() { _ = server.Serve(target.listener) }()
	return nil
}

func (target *poisonTarget) kill() {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.listener.kill()
}

func (target *poisonTarget) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	recorder := &target.deployment.poison
	recorder.mu.Lock()
	recorder.crashes[r.URL.Path] = append(recorder.crashes[r.URL.Path], poisonCrash{time.Now(), r.Header.Get(platform.HeaderRequestID), target.id})
	recorder.mu.Unlock()
	target.kill()
	time.AfterFunc(poisonDowntime, func() {
		if target.deployment.closed.Load() {
			return
		}
		if err := target.start(); err != nil {
			target.deployment.addViolation("stand-ins start again", "%s", err)
		}
	})
	panic(http.ErrAbortHandler)
}

// sendPoison sends one request that crashes its targets several times, to different
// instances. Its route moves to another service before each.
func (deployment *Deployment) sendPoison(selector int, _ time.Duration) {
	random := rand.New(rand.NewPCG(uint64(selector), 4))
	path := fmt.Sprintf("/%s/%d", poisonRoute, selector)
	for i := range poisonSends {
		started := time.Now()
		deployment.publishConfig()
		time.Sleep(poisonInterval / 4)
		inst := deployment.instances[random.IntN(len(deployment.instances))]
		id := fmt.Sprintf("%s-%d-%d", poisonRoute, selector, i)
		deployment.poisonSenders.Store(id, inst)
		status := sendOnce(inst, wiresite.Request("POST", path, id, "", "body", requestDeadline))
		deployment.log("request %s to %s: status %d", id, inst.name, status)
		time.Sleep(poisonInterval - time.Since(started))
	}
}

// sendOnce sends a request on a new connection and returns the status of the response,
// or 0 if there is none.
func sendOnce(inst *instance, request string) int {
	conn, err := net.DialTimeout("tcp", wiresite.CallerAddress(inst.host), time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestDeadline))
	if _, err := io.WriteString(conn, request); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// checkPoison checks that a request that has crashed three targets is refused
// stabilityTime after that, by instances that were not disturbed.
func (deployment *Deployment) checkPoison() {
	deployment.poison.mu.Lock()
	defer deployment.poison.mu.Unlock()
	for path, crashes := range deployment.poison.crashes {
		if len(crashes) <= 3 {
			continue
		}
		var late []string
		for _, crash := range crashes[3:] {
			sender, known := deployment.poisonSenders.Load(crash.id)
			if known && crash.at.Sub(crashes[2].at) > stabilityTime && !deployment.disturbed(sender.(*instance), crash.at) {
				late = append(late, crash.id+" at "+crash.target)
			}
		}
		if len(late) > maxLateCrashes {
			deployment.addViolation("requests that crash targets are refused", "%s crashed %d targets, these later than %s after the third: %s",
				path, len(crashes), stabilityTime, strings.Join(late, ", "))
		}
	}
}

// disturbed reports whether any fault affected an instance within stabilityTime before
// a time.
func (deployment *Deployment) disturbed(inst *instance, at time.Time) bool {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	return deployment.affectedByFault(inst, at.Add(-stabilityTime), at) || inst.startedBetween(at.Add(-stabilityTime), at)
}
