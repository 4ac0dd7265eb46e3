package entry

import (
	"encoding/json"
	"io"
	"net/url"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/lookup"
	"github.com/jacinthstall/jacinthstall/membership"
	"github.com/jacinthstall/jacinthstall/settings"
)

// plannedInstance returns an instance, not running, that knows one other.
func plannedInstance(t *testing.T, handler log.Handler) *Instance {
	t.Helper()
	s := settings.Settings{Name: "i1", Region: "east", Domain: "east-a", CallerAddress: "10.0.0.1:80", Platform: "127.0.0.1:1"}
	in, err := New(s, &log.Logger{Handler: handler, Level: log.DebugLevel})
	require.NoError(t, err)
	in.chooser = randomChooser{domain: s.Domain, region: s.Region}
	in.members.heartbeat(membership.Update{Name: "i2", Region: "east", Domain: "east-a", CallerAddress: "10.0.0.2:80", Incarnation: 1}, nil)
	return in
}

// applyVersion puts a version of the document in force that names instances as
// leaving, in the order of useSnapshot, with a refresh between its two steps.
func applyVersion(t *testing.T, in *Instance, version uint64, leaving ...string) {
	t.Helper()
	d := lookupDocument()
	d.Version, d.LeavingInstances, d.LogLevel = version, leaving, "info"
	require.NoError(t, applyTestDocument(in.lookupService, d))
	in.refreshLookups()
	in.document.Store(d)
	in.refreshLookups()
}

func lookedUpInstances(t *testing.T, in *Instance) []string {
	t.Helper()
	var a lookup.Decision
	_, err := in.lookupService.decide(lookup.Query{Caller: lookupCaller, Service: "reads"}, &a)
	require.NoError(t, err)
	var names []string
	for _, chosen := range a.Instances[:a.Count] {
		names = append(names, chosen.Name)
	}
	return names
}

// Requirement R7: an instance whose stop is planned in the document must be
// out of look-up answers although its members' state has not changed, and back
// in them once the mark is undone.
func TestLeavingInstanceIsNotNamedToCallers(t *testing.T) {
	in := plannedInstance(t, discard.New())
	applyVersion(t, in, 1)
	assert.ElementsMatch(t, []string{"i1", "i2"}, lookedUpInstances(t, in))
	applyVersion(t, in, 2, "i2")
	assert.Equal(t, []string{"i1"}, lookedUpInstances(t, in))
	applyVersion(t, in, 3, "i1")
	assert.Equal(t, []string{"i2"}, lookedUpInstances(t, in))
	applyVersion(t, in, 4)
	assert.ElementsMatch(t, []string{"i1", "i2"}, lookedUpInstances(t, in))
}

// The named instance must report itself as leaving to operators and peers,
// since peers may not have the document yet, and must take that back.
func TestLeavingInstanceReportsItself(t *testing.T) {
	in := plannedInstance(t, discard.New())
	applyVersion(t, in, 1, "i2")
	assert.False(t, in.status().Leaving)
	assert.Equal(t, membership.Alive, in.reportedState())
	applyVersion(t, in, 2, "i1")
	assert.True(t, in.status().Leaving)
	assert.Equal(t, membership.Leaving, in.reportedState())
	applyVersion(t, in, 3)
	assert.False(t, in.status().Leaving)
	assert.Equal(t, membership.Alive, in.reportedState())
	in.leaving.Store(true)
	assert.Equal(t, membership.Leaving, in.reportedState(), "a stop that has begun is not undone by a document")
}

// A running instance must carry the mark of a published document to its
// heartbeats, its status and its readiness.
func TestPlannedStopOfRunningInstance(t *testing.T) {
	o := startOperatorSession(t, encodedOperatorKey())
	o.requireVersion(1)
	// Readiness waits for the first member table, too.
	var ready int
	require.Eventually(t, func() bool {
		ready, _ = o.get("/ready")
		return ready == 200
	}, waitTimeout, 10*time.Millisecond)
	_, _ = o.post("/console/draft", url.Values{})
	status, page := o.post("/console/edit/instances", url.Values{"action": {"save"}, "key": {""}, "field-name": {"palermo-a-1"}})
	require.Equal(t, 200, status, page)
	status, page = o.post("/console/publish", o.sign())
	require.Equal(t, 200, status, page)
	o.requireVersion(2)
	_, body := o.get("/status")
	var got Status
	require.NoError(t, json.Unmarshal([]byte(body), &got))
	assert.True(t, got.Leaving)
	ready, _ = o.get("/ready")
	assert.Equal(t, 503, ready)
	require.Eventually(t, func() bool { return o.instance.members.self().State == membership.Leaving }, waitTimeout, 10*time.Millisecond)
}

// The log level of a document must apply while the instance runs, also when a
// refresh comes between the two steps that put the document in force.
func TestLogLevelOfTheDocument(t *testing.T) {
	handler := events.NewHandler(io.Discard)
	t.Cleanup(func() { _ = handler.Close() })
	in := plannedInstance(t, handler)
	handler.SetLevel(log.DebugLevel)
	applyVersion(t, in, 1)
	assert.False(t, handler.Enabled(log.DebugLevel))
	assert.True(t, handler.Enabled(log.InfoLevel))
}
