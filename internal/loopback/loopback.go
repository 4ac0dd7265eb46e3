// Package loopback hands out addresses for tests. Each host is an address of
// the loopback network of its own, so that fixed ports on it are free: a port
// that was free a moment ago can be taken by another test process.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

var nextHost atomic.Uint32

const (
	// hostsPerLastByte is how many hosts differ in the last byte only.
	hostsPerLastByte = 250
	// hostsPerProcess is the number of hosts of a process.
	hostsPerProcess = 16 * hostsPerLastByte
)

// Host returns an IP number that no other test of this process uses, nor of
// another one whose ID is near.
func Host() string {
	pid := uint32(os.Getpid())
	n := nextHost.Add(1) - 1
	if n >= hostsPerProcess {
		panic("loopback: out of hosts")
	}
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, (pid/250%16)*16+n/hostsPerLastByte, 1+n%hostsPerLastByte)
}
