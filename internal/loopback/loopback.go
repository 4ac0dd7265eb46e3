// Package loopback hands out addresses for tests. Each host is an address of
// the loopback network of its own, so that fixed ports on it are free: a port
// that was free a moment ago can be taken by another test process.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

var next atomic.Uint32

const (
	// perByte is how many hosts differ in the last byte only.
	perByte = 250
	// perProcess is the number of hosts of a process.
	perProcess = 16 * perByte
)

// Host returns an IP number that no other test of this process uses, nor of
// another one whose ID is near.
func Host() string {
	pid := uint32(os.Getpid())
	n := next.Add(1) - 1
	if n >= perProcess {
		panic("loopback: out of hosts")
	}
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, (pid/250%16)*16+n/perByte, 1+n%perByte)
}
