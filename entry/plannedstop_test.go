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

// plannedInstance returns an instance that is not running and knows one peer.
func plannedInstance(t *testing.T, handler log.Handler) *Instance {
	t.Helper()
	s := settings.Settings{Name: "i1", Region: "east", Domain: "east-a", CallerAddress: "10.0.0.1:80", Platform: "127.0.0.1:1"}
	inst, err := New(s, &log.Logger{Handler: handler, Level: log.DebugLevel})
	require.NoError(t, err)
	inst.chooser = randomChooser{domain: s.Domain, region: s.Region}
	inst.members.heartbeat(membership.Update{Name: "i2", Region: "east", Domain: "east-a", CallerAddress: "10.0.0.2:80", Incarnation: 1}, nil)
	return inst
}

// applyVersion applies a version of the document that marks instances as
// leaving. It takes the two steps of applySnapshot in order, with a refresh
// between them.
func applyVersion(t *testing.T, inst *Instance, version uint64, leaving ...string) {
	t.Helper()
	d := lookupDocument()
	d.Version, d.LeavingInstances, d.LogLevel = version, leaving, "info"
	require.NoError(t, applyTestDocument(inst.lookupService, d))
	inst.refreshLookups()
	inst.document.Store(d)
	inst.refreshLookups()
}

func lookedUpInstances(t *testing.T, inst *Instance) []string {
	t.Helper()
	var decision lookup.Decision
	_, err := inst.lookupService.decide(lookup.Query{Caller: lookupCaller, Service: "reads"}, &decision)
	require.NoError(t, err)
	var names []string
	for _, chosen := range decision.Instances[:decision.Count] {
		names = append(names, chosen.Name)
	}
	return names
}

// Requirement R7: an instance that the document marks as leaving must be left
// out of look-up responses although its membership state is unchanged, and must
// be included again once the mark is removed.
func TestLeavingInstanceIsNotNamedToCallers(t *testing.T) {
	inst := plannedInstance(t, discard.New())
	applyVersion(t, inst, 1)
	assert.ElementsMatch(t, []string{"i1", "i2"}, lookedUpInstances(t, inst))
	applyVersion(t, inst, 2, "i2")
	assert.Equal(t, []string{"i1"}, lookedUpInstances(t, inst))
	applyVersion(t, inst, 3, "i1")
	assert.Equal(t, []string{"i2"}, lookedUpInstances(t, inst))
	applyVersion(t, inst, 4)
	assert.ElementsMatch(t, []string{"i1", "i2"}, lookedUpInstances(t, inst))
}

// An instance that the document marks as leaving must report this to operators
// and peers, since peers may not have the document yet, and must revert it when
// the mark is removed.
func TestLeavingInstanceReportsItself(t *testing.T) {
	inst := plannedInstance(t, discard.New())
	applyVersion(t, inst, 1, "i2")
	assert.False(t, inst.status().Leaving)
	assert.Equal(t, membership.Alive, inst.reportedState())
	applyVersion(t, inst, 2, "i1")
	assert.True(t, inst.status().Leaving)
	assert.Equal(t, membership.Leaving, inst.reportedState())
	applyVersion(t, inst, 3)
	assert.False(t, inst.status().Leaving)
	assert.Equal(t, membership.Alive, inst.reportedState())
	inst.leaving.Store(true)
	assert.Equal(t, membership.Leaving, inst.reportedState(), "a stop that has begun is not undone by a document")
}

// A running instance that a published document marks as leaving must show it in
// its heartbeats, its status and its readiness.
func TestPlannedStopOfRunningInstance(t *testing.T) {
	session := startOperatorSession(t, encodedOperatorKey())
	session.requireVersion(1)
	// Readiness also requires the first member table.
	var ready int
	require.Eventually(t, func() bool {
		ready, _ = session.get("/ready")
		return ready == 200
	}, waitTimeout, 10*time.Millisecond)
	_, _ = session.post("/console/draft", url.Values{})
	status, page := session.post("/console/edit/instances", url.Values{"action": {"save"}, "key": {""}, "field-name": {"palermo-a-1"}})
	require.Equal(t, 200, status, page)
	status, page = session.post("/console/publish", session.sign())
	require.Equal(t, 200, status, page)
	session.requireVersion(2)
	_, body := session.get("/status")
	var got Status
	require.NoError(t, json.Unmarshal([]byte(body), &got))
	assert.True(t, got.Leaving)
	ready, _ = session.get("/ready")
	assert.Equal(t, 503, ready)
	require.Eventually(t, func() bool { return session.instance.members.self().State == membership.Leaving }, waitTimeout, 10*time.Millisecond)
}

// The log level of a document must take effect while the instance runs, even
// when a refresh occurs between the two steps that apply the document.
func TestLogLevelOfTheDocument(t *testing.T) {
	handler := events.NewHandler(io.Discard)
	t.Cleanup(func() { _ = handler.Close() })
	inst := plannedInstance(t, handler)
	handler.SetLevel(log.DebugLevel)
	applyVersion(t, inst, 1)
	assert.False(t, handler.Enabled(log.DebugLevel))
	assert.True(t, handler.Enabled(log.InfoLevel))
}
