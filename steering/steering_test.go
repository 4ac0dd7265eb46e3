package steering_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/steering"
)

func indexedConfig(c steering.Config) *steering.Config {
	c.Index()
	return &c
}

func TestMatchSelectsLongestPrefix(t *testing.T) {
	c := indexedConfig(steering.Config{Routes: []steering.Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "x", Host: "a.example", Prefix: "/x/"},
		{Name: "xy", Host: "a.example", Prefix: "/x/y/"},
		{Name: "b", Host: "b.example", Prefix: "/x/"},
	}})
	for path, want := range map[string]string{"/": "root", "/x": "root", "/x/": "x", "/x/yy": "x", "/x/y/": "xy", "/x/y/z/q": "xy", "/q/x/": "root"} {
		assert.Equal(t, want, c.Match("A.example:8080", path).Name, path)
	}
	assert.Equal(t, "b", c.Match("b.example", "/x/1").Name)
	assert.Nil(t, c.Match("b.example", "/"))
	assert.Nil(t, c.Match("c.example", "/x/"))
	assert.Nil(t, c.Match("a.example", "nothing"))
}

// Guards against a configuration that reverts because a store or peer is
// behind.
func TestOlderConfigIsIgnored(t *testing.T) {
	state := steering.NewState().Apply(5, []steering.Update{steering.ConfigUpdate{Config: &steering.Config{Version: 7}}})
	state = state.Apply(6, []steering.Update{steering.ConfigUpdate{Config: &steering.Config{Version: 3}}})
	assert.Equal(t, steering.Version(7), state.Config.Version)
}

func TestStateIsImmutable(t *testing.T) {
	target := &steering.Target{ID: "t", Service: "s", Domain: "d"}
	before := steering.NewState().Apply(1, []steering.Update{steering.TargetUpdate{Target: target}})
	after := before.Apply(2, []steering.Update{steering.TargetRemoval{ID: "t"}, steering.EvacuationUpdate{Domain: "d", Active: true},
		steering.InstanceUpdate{Instance: steering.Instance{Name: "n"}}})
	assert.Len(t, before.TargetsOf("s"), 1)
	assert.True(t, before.Usable(target))
	assert.Empty(t, before.Instances)
	assert.Empty(t, after.TargetsOf("s"))
	assert.False(t, after.Usable(target))
	assert.True(t, after.Apply(3, []steering.Update{steering.EvacuationUpdate{Domain: "d"}}).Usable(target))
	assert.False(t, after.Usable(&steering.Target{Draining: true}))
}

func TestHomeRegions(t *testing.T) {
	assert.True(t, steering.HomeRegions(nil).Allows("x"))
	assert.True(t, steering.HomeRegions{"x"}.Allows("x"))
	assert.False(t, steering.HomeRegions{"x"}.Allows("y"))
}
