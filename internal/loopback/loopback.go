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

// Host returns an IP number that no other test of this or another process uses.
// A process has 254 of them.
func Host() string {
	pid := uint32(os.Getpid())
	n := next.Add(1)
	if n > 254 {
		panic("loopback: out of hosts")
	}
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%254, pid%256, n)
}
