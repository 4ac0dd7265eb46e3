package overhead

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a measurement that does not reach the target through the
// instance. The value itself depends on the machine and is not checked.
func TestMeasureReachesTargetDirectlyAndThroughInstance(t *testing.T) {
	ratio, err := measure(1, 3)
	require.NoError(t, err)
	assert.Positive(t, ratio)
}
