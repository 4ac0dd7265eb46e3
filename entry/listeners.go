package entry

import (
	"fmt"
	"net"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
)

// listeners are the listeners of a running instance.
type listeners struct {
	peers     net.Listener
	operators net.Listener
	callers   *callerListener
}

// listen opens all listeners, or none if one of them fails.
func (inst *Instance) listen() (*listeners, error) {
	var open listeners
	var err error
	if open.peers, err = net.Listen("tcp", inst.settings.PeerAddress); err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	if open.operators, err = net.Listen("tcp", inst.settings.OperatorAddress); err != nil {
		open.close()
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	if open.callers, err = listenCallers(inst.settings.CallerAddress); err != nil {
		open.close()
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	return &open, nil
}

// close closes the listeners that are open. Open connections are not affected.
func (open *listeners) close() {
	if open.peers != nil {
		_ = open.peers.Close()
	}
	if open.operators != nil {
		_ = open.operators.Close()
	}
	if open.callers != nil {
		_ = open.callers.Close()
	}
}

func (inst *Instance) acceptFailed(err error) {
	inst.events.Emit(events.AcceptFailed, log.Fields{"error": err.Error()})
}
