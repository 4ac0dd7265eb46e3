package soak

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/internal/loopback"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
	"github.com/jacinthstall/jacinthstall/standin/wiretarget"
)

const (
	targetPort = ":8200"
	// targetSlots is the number of slots of most targets; fewer if all would have more
	// than maxSlots. Every smallTargetEvery-th target has smallTargetSlots and a queue
	// of smallTargetQueue, and rejects much.
	targetSlots      = 6
	maxSlots         = 360
	targetQueue      = 12
	smallTargetEvery = 4
	smallTargetSlots = 2
	smallTargetQueue = 1
	// maxProxiedTargets limits the targets with a proxy, which takes two further file
	// descriptors for each connection.
	maxProxiedTargets = 30
	// minExecutionTime is the execution time of requests with known objects. It is
	// longer in deployments that would execute more than maxExecutionRate, since the
	// targets and not the machine are to be loaded.
	minExecutionTime = 15 * time.Millisecond
	maxExecutionRate = 1500 // Requests per second of all targets together.
	coldFactor       = 3    // Execution time of requests with new objects, in minExecutionTime.

	noiseProbability = 0.3
)

// targetSeat is a place of a target in the deployment. The target in it may be
// killed, and replaced at the same or at another address.
type targetSeat struct {
	index  int
	domain string
	slots  int
	proxy  *proxy // Between the instances and the target; nil if they connect directly.

	mu       sync.Mutex
	starts   int
	id       string
	address  string // In the record of the target.
	target   *wiretarget.Target
	listener *killableListener
	busy     bool // A fault has reserved the seat.
	noRecord bool // The target has removed its record.
}

// killableListener keeps the accepted connections, to reset them with the target.
type killableListener struct {
	net.Listener
	mu     sync.Mutex
	killed bool
	conns  map[net.Conn]struct{}
}

type killableConn struct {
	*net.TCPConn
	listener *killableListener
}

func (listener *killableListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	listener.mu.Lock()
	defer listener.mu.Unlock()
	accepted := &killableConn{conn.(*net.TCPConn), listener}
	if listener.killed {
		resetConn(conn)
	} else {
		listener.conns[accepted] = struct{}{}
	}
	return accepted, nil
}

func (conn *killableConn) Close() error {
	conn.listener.mu.Lock()
	defer conn.listener.mu.Unlock()
	delete(conn.listener.conns, conn)
	return conn.TCPConn.Close()
}

// kill closes the listener and resets all connections.
func (listener *killableListener) kill() {
	_ = listener.Close()
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.killed = true
	for conn := range listener.conns {
		resetConn(conn.(*killableConn).TCPConn)
	}
}

func (deployment *Deployment) addTarget(index int) error {
	seat := &targetSeat{index: index, domain: domainNames[index%len(domainNames)],
		slots: max(smallTargetSlots, min(targetSlots, maxSlots/deployment.options.Targets))}
	if index%smallTargetEvery == smallTargetEvery-1 {
		seat.slots = smallTargetSlots
	}
	deployment.seats = append(deployment.seats, seat)
	if index < maxProxiedTargets {
		proxy, err := newProxy(loopback.Host()+targetPort, "")
		if err != nil {
			return err
		}
		seat.proxy, seat.address = proxy, proxy.listener.Addr().String()
		deployment.closers = append(deployment.closers, proxy.close)
	}
	deployment.closers = append(deployment.closers, func() { deployment.killTarget(seat) })
	return deployment.startTarget(seat, true)
}

// startTarget starts a new target in a seat and writes its record. Without a proxy,
// newAddress determines whether it gets another address than the target before.
func (deployment *Deployment) startTarget(seat *targetSeat, newAddress bool) error {
	seat.mu.Lock()
	defer seat.mu.Unlock()
	listenAddress := seat.address
	if seat.proxy != nil || newAddress {
		listenAddress = loopback.Host() + targetPort
	}
	listener, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return err
	}
	if seat.proxy != nil {
		seat.proxy.setUpstream(listenAddress)
	} else {
		seat.address = listenAddress
	}
	seat.noRecord = false
	seat.starts++
	seat.id = fmt.Sprintf("t%d.%d", seat.index, seat.starts)
	queue := targetQueue
	if seat.index%smallTargetEvery == smallTargetEvery-1 {
		queue = smallTargetQueue
	}
	warmTime := max(minExecutionTime, time.Second*time.Duration(min(targetSlots*deployment.options.Targets, maxSlots))/maxExecutionRate)
	seat.target = wiretarget.New(wiretarget.Options{ID: seat.id, Slots: seat.slots, MaxQueued: queue, WarmTime: warmTime,
		ColdTime: coldFactor * warmTime, DropsAbandoned: seat.index%2 == 0, StartsAtHead: seat.index%3 == 0,
		RejectShare: deployment.options.Rejects})
	seat.target.SetNoise(deployment.options.Noise)
	seat.target.RepeatRefusals(deployment.options.RefuseEvery)
	seat.listener = &killableListener{Listener: listener, conns: map[net.Conn]struct{}{}}
	server := seat.target.NewServer(seat.listener)
	go func() { _ = server.Run() }()
	deployment.mu.Lock()
	deployment.targets = append(deployment.targets, seat.target)
	deployment.mu.Unlock()
	deployment.store.Put(wiresite.TargetKey(seat.id), seat.record("ready"))
	return nil
}

// record returns the record of the seat's target. The caller must hold mu.
func (seat *targetSeat) record(state string) []byte {
	return wiresite.TargetRecord(serviceName, seat.domain, seat.address, state, seat.slots)
}

// writeTargetRecord writes the state of a target to the store, unless the target
// has been replaced. If the target has removed its record, it does so again.
func (deployment *Deployment) writeTargetRecord(seat *targetSeat, id, state string) {
	seat.mu.Lock()
	defer seat.mu.Unlock()
	switch {
	case seat.id != id:
	case seat.noRecord:
		deployment.store.Delete(wiresite.TargetKey(id))
	default:
		deployment.store.Put(wiresite.TargetKey(id), seat.record(state))
	}
}

// removeTargetRecord removes the record of the seat's target for good.
func (deployment *Deployment) removeTargetRecord(seat *targetSeat) {
	seat.mu.Lock()
	defer seat.mu.Unlock()
	seat.noRecord = true
	deployment.store.Delete(wiresite.TargetKey(seat.id))
}

// current returns the target in the seat and its ID.
func (seat *targetSeat) current() (*wiretarget.Target, string) {
	seat.mu.Lock()
	defer seat.mu.Unlock()
	return seat.target, seat.id
}

func (deployment *Deployment) killTarget(seat *targetSeat) {
	seat.mu.Lock()
	defer seat.mu.Unlock()
	if seat.target != nil {
		seat.target.Kill()
		seat.listener.kill()
	}
}

// reserve reserves the seat for a fault that excludes others. It reports false if
// another fault has reserved it.
func (seat *targetSeat) reserve() bool {
	seat.mu.Lock()
	defer seat.mu.Unlock()
	reserved := !seat.busy
	seat.busy = true
	return reserved
}

func (seat *targetSeat) release() {
	seat.mu.Lock()
	defer seat.mu.Unlock()
	seat.busy = false
}

func (deployment *Deployment) seatAt(selector int) *targetSeat {
	return deployment.seats[selector%len(deployment.seats)]
}

// replaceTarget kills a target and starts another in its place, at the same address
// or, if the instances connect directly, at another. The record of the first is
// removed some time after.
func (deployment *Deployment) replaceTarget(selector int, downtime time.Duration) {
	seat := deployment.seatAt(selector)
	if !seat.reserve() {
		return
	}
	defer seat.release()
	_, id := seat.current()
	deployment.recordFault(faultTarget, nil, func() {
		deployment.killTarget(seat)
		time.Sleep(downtime / 2)
		if err := deployment.startTarget(seat, selector/7%2 == 0); err != nil {
			deployment.addViolation("stand-ins start again", "%s", err)
		}
		time.Sleep(downtime / 2)
		deployment.store.Delete(wiresite.TargetKey(id))
	})
}

func (deployment *Deployment) freezeTarget(selector int, duration time.Duration) {
	seat := deployment.seatAt(selector)
	if !seat.reserve() {
		return
	}
	defer seat.release()
	target, _ := seat.current()
	deployment.recordFault(faultTarget, nil, func() {
		thaw := target.Freeze()
		time.Sleep(duration)
		thaw()
	})
}

// makeTargetNoisy makes a target send extra and repeated responses.
func (deployment *Deployment) makeTargetNoisy(selector int, duration time.Duration) {
	target, _ := deployment.seatAt(selector).current()
	target.SetNoise(noiseProbability)
	time.Sleep(2 * duration)
	target.SetNoise(deployment.options.Noise)
}
