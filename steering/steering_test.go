package steering_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/steering"
)

func indexed(c steering.Config) *steering.Config {
	c.Index()
	return &c
}

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	c := indexed(steering.Config{Routes: []steering.Route{
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

// Guards against a store or peer that is behind: a configuration must not revert.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	w := steering.NewWorld().With(5, []steering.Fact{steering.ConfigIs{Config: &steering.Config{Version: 7}}})
	w = w.With(6, []steering.Fact{steering.ConfigIs{Config: &steering.Config{Version: 3}}})
	assert.Equal(t, steering.Version(7), w.Config.Version)
}

func TestWorldIsImmutable(t *testing.T) {
	target := &steering.Target{ID: "t", Service: "s", Domain: "d"}
	before := steering.NewWorld().With(1, []steering.Fact{steering.TargetIs{Target: target}})
	after := before.With(2, []steering.Fact{steering.TargetGone{ID: "t"}, steering.DomainEvacuated{Domain: "d", On: true},
		steering.InstanceIs{Instance: steering.Instance{Name: "n"}}})
	assert.Len(t, before.Of("s"), 1)
	assert.True(t, before.Usable(target))
	assert.Empty(t, before.Instances)
	assert.Empty(t, after.Of("s"))
	assert.False(t, after.Usable(target))
	assert.True(t, after.With(3, []steering.Fact{steering.DomainEvacuated{Domain: "d"}}).Usable(target))
	assert.False(t, after.Usable(&steering.Target{Draining: true}))
}

func TestHomes(t *testing.T) {
	assert.True(t, steering.Homes(nil).Allow("x"))
	assert.True(t, steering.Homes{"x"}.Allow("x"))
	assert.False(t, steering.Homes{"x"}.Allow("y"))
}
