package soak_test

import (
	"context"
	"io"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/internal/soak"
)

// regressionSeeds are seeds that have failed, with the cause. A new one is added
// when a seed fails; none is removed.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{}

func buildNode(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "jacinth-node")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/jacinthstall/jacinthstall/cmd/jacinth-node").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// Guards against instances that need each other, or something kept, to start.
func TestServiceRecoversAfterAllInstancesAreKilled(t *testing.T) {
	binary := buildNode(t)
	for _, storeDown := range []bool{false, true} {
		r, err := soak.MeasureRecovery(context.Background(), soak.Options{Binary: binary, Dir: t.TempDir(), Seed: 1, Instances: 4,
			Targets: 6, Callers: 8, Log: io.Discard}, storeDown)
		assert.NoError(t, err)
		t.Logf("store down %v: first answer %s, full service %s", storeDown, r.FirstResponse, r.FullService)
	}
}

// The verdict depends on promises only, not on how much was served in the time.
func TestSeededRunHasNoViolations(t *testing.T) {
	binary := buildNode(t)
	seeds := map[uint64]string{1: "the usual one"}
	for _, r := range regressionSeeds {
		seeds[r.seed] = r.cause
	}
	for seed, cause := range seeds {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		result, err := soak.Run(ctx, soak.Options{Binary: binary, Dir: t.TempDir(), Seed: seed, Instances: 4, Targets: 6,
			Callers: 8, Faults: 12, Log: io.Discard})
		cancel()
		require.NoError(t, err, cause)
		assert.Empty(t, result.Violations, "seed %d: %s", seed, cause)
		assert.NotZero(t, result.Succeeded, "seed %d", seed)
	}
}
