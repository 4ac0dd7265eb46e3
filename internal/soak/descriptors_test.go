package soak

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/standin/metastore"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
)

const (
	descriptorLimit = 60
	// exitTime is more than the time that a process takes to end after a listener
	// has failed.
	exitTime = 2 * time.Second
)

// Guards against a process that ends, and cuts all its requests, because it has used
// up its file descriptors when a connection for readiness or look-ups is accepted.
func TestInstanceOutlastsLackOfDescriptors(t *testing.T) {
	dir := t.TempDir()
	program, limited := filepath.Join(dir, "jacinth-node"), filepath.Join(dir, "limited")
	output, err := exec.Command("go", "build", "-o", program, "github.com/jacinthstall/jacinthstall/cmd/jacinth-node").CombinedOutput()
	require.NoError(t, err, string(output))
	require.NoError(t, os.WriteFile(limited, fmt.Appendf(nil, "#!/bin/sh\nulimit -n %d\nexec %s\n", descriptorLimit, program), 0o700))
	deployment := &Deployment{options: Options{Binary: limited, Dir: dir, Instances: 1, Targets: 1}, store: metastore.New()}
	defer deployment.close()
	require.NoError(t, deployment.start())
	inst := deployment.instances[0]
	ready, err := url.Parse(wiresite.ReadyURL(inst.host))
	require.NoError(t, err)
	var conns []net.Conn
	for range 2 * descriptorLimit {
		conn, err := net.DialTimeout("tcp", ready.Host, dialTimeout)
		if err == nil {
			conns = append(conns, conn)
		}
	}
	assert.False(t, inst.waitExit(exitTime), "the process has ended")
	for _, conn := range conns {
		_ = conn.Close()
	}
	assert.Eventually(t, inst.ready, startTimeout, 50*time.Millisecond)
}
