package capacity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against heartbeats whose number grows with the fleet, and against more
// than 9 KB/s at 8,000 members.
func TestHeartbeatTrafficIsBounded(t *testing.T) {
	var messages []float64
	for _, size := range fleetSizes {
		sent, bytes, _ := steadyHeartbeatRate(size, serviceCount)
		total := bytes + memberChangeBytesPerSecond(size)
		t.Logf("%d members: %.1f messages/s, %.0f bytes/s", size, sent, total)
		assert.Less(t, total, 9000.0)
		messages = append(messages, sent)
	}
	assert.Equal(t, messages[0], messages[len(messages)-1])
}

// Guards against a membership table, with its view, that uses too much of the 64 MB
// for control work.
func TestMembershipTableIsSmall(t *testing.T) {
	rows, err := MeasureMembershipTable()
	assert.NoError(t, err)
	last := rows[len(rows)-1]
	t.Logf("%d members: %d bytes", last.Size, last.StateBytes)
	assert.Less(t, last.StateBytes, int64(16<<20))
}

// Guards against control traffic above its bound, with load reports at the size of
// a deployment and with loads in heartbeats at 8,000 instances.
func TestTrafficFiguresMeetTheirBounds(t *testing.T) {
	for _, f := range TrafficFigures() {
		t.Logf("%s: %.3f %s", f.Name, f.Value, f.Unit)
		assert.True(t, f.Met(), f.Name)
	}
}

// Guards against load reports whose number grows with the fleet. A report goes to 8
// peers of the region and one instance of each of the 16 other regions.
func TestLoadReportsAreBounded(t *testing.T) {
	for _, size := range fleetSizes {
		assert.Equal(t, 8+regionCount-1, loadReportReceivers(size))
	}
	assert.Equal(t, 5, loadReportReceivers(deploymentMembers))
}
