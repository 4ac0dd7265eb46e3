package events_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"github.com/apex/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/events"
)

var alarmTableRow = regexp.MustCompile(`(?m)^\| (\d+ \| [a-z-]+ \| [a-z]+) \| [^|]+ \| [^|]+ \|$`)

// The operators' page must explain each warning and error, and none that no
// longer exists.
func TestAlarmsPageMatchesCatalogue(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/alarms.md")
	require.NoError(t, err)
	var want, listed []string
	for _, e := range events.Catalogue() {
		if e.Level >= log.WarnLevel {
			want = append(want, fmt.Sprintf("%d | %s | %s", e.Number, e.Name, e.Level))
		}
	}
	for _, row := range alarmTableRow.FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, row[1])
	}
	assert.Equal(t, want, listed)
}
