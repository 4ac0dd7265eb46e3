package capacity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against control traffic that grows with the fleet or passes its bound
// of 9 KB/s at 8,000 members.
func TestHeartbeatTrafficIsBounded(t *testing.T) {
	var messages []float64
	for _, size := range memberSizes {
		sent, bytes, _ := quietRate(size)
		total := bytes + changeBytes(size)
		t.Logf("%d members: %.1f messages/s, %.0f bytes/s", size, sent, total)
		assert.Less(t, total, 9000.0)
		messages = append(messages, sent)
	}
	assert.Equal(t, messages[0], messages[len(messages)-1])
}

// Guards the memory of the membership table: with its view it is a small part of
// the 64 MB for control work.
func TestMembershipTableIsSmall(t *testing.T) {
	rows, err := MembershipTable()
	assert.NoError(t, err)
	last := rows[len(rows)-1]
	t.Logf("%d members: %d bytes", last.Size, last.StateBytes)
	assert.Less(t, last.StateBytes, int64(16<<20))
}
