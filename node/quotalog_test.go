package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/settings"
	"github.com/jacinthstall/jacinthstall/steering"
)

// Accounts lose their limits while requests are refused. Guards against a state per
// account that is never removed, and against excesses whose end is not logged.
func TestRefusalsOfRemovedAccountsAreForgotten(t *testing.T) {
	now, handler := time.Now(), memory.New()
	quotas := newAccountQuotas(settings.Bounds{}, events.New(&log.Logger{Handler: handler, Level: log.InfoLevel}), now)
	quotas.refused = gometrics.NewCounter()
	before := &steering.Config{}
	for i := range 3 {
		name := fmt.Sprint("a", i)
		config := &steering.Config{Accounts: map[string]*steering.Account{name: {Name: name, RequestsPerSecond: 1}}}
		quotas.configChanged(now, before, config)
		for range 10 {
			quotas.Admit(now, name)
		}
		before = config
	}
	quotas.configChanged(now, before, &steering.Config{})
	assert.Empty(t, quotas.logged)
	restored := 0
	for _, entry := range handler.Entries {
		if entry.Fields["event"] == events.QuotaRestored.Number {
			restored++
		}
	}
	assert.Equal(t, 3, restored)
}
