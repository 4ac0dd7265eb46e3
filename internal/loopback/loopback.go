// Package loopback allocates addresses of the loopback network for tests. Each
// caller gets a different address, on which it can use fixed ports. Searching for a
// free port is not reliable: another test process can take the port before it is used.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

var nextHost atomic.Uint32

const (
	// hostsPerLastByte is the number of addresses that differ in the last byte only.
	hostsPerLastByte = 250
	// hostsPerProcess is the number of addresses available to a process.
	hostsPerProcess = 16 * hostsPerLastByte
)

// Host returns a loopback IP address that is unique within this process and among
// processes with nearby process IDs. It panics when hostsPerProcess addresses have
// been allocated.
func Host() string {
	pid := uint32(os.Getpid())
	index := nextHost.Add(1) - 1
	if index >= hostsPerProcess {
		panic("loopback: all addresses of this process are allocated")
	}
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, (pid/250%16)*16+index/hostsPerLastByte, 1+index%hostsPerLastByte)
}
