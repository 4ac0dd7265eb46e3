package overhead

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a measurement whose requests do not reach the target, directly or
// through the instance. The ratio depends on the machine and is checked only to be
// positive.
func TestMeasureReachesTargetDirectlyAndThroughInstance(t *testing.T) {
	ratio, err := measure(1, 3)
	require.NoError(t, err)
	assert.Positive(t, ratio)
}
