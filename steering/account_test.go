package steering_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/steering"
)

func TestRankComparesAccountBeforeRoute(t *testing.T) {
	assert.True(t, steering.Rank{Account: 0, Route: 2}.Before(steering.Rank{Account: 1, Route: 0}))
	assert.True(t, steering.Rank{Account: 1, Route: 0}.Before(steering.Rank{Account: 1, Route: 2}))
	assert.False(t, steering.Rank{Account: 1, Route: 1}.Before(steering.Rank{Account: 1, Route: 1}))
	assert.False(t, steering.Rank{Account: 1, Route: 0}.Before(steering.Rank{Account: 0, Route: 2}))
	config := steering.Config{DefaultPriority: 3}
	route := &steering.Route{Priority: 2}
	assert.Equal(t, steering.Rank{Account: 3, Route: 2}, config.RankOf(nil, route))
	assert.Equal(t, steering.Rank{Account: 1, Route: 2}, config.RankOf(&steering.Account{Priority: 1}, route))
}

// Guards against an empty intersection that allows all regions.
func TestIntersectionOfHomeRegions(t *testing.T) {
	all, ab, bc, d := steering.HomeRegions(nil), steering.HomeRegions{"a", "b"}, steering.HomeRegions{"b", "c"}, steering.HomeRegions{"d"}
	assert.Equal(t, ab, all.Intersect(ab))
	assert.Equal(t, ab, ab.Intersect(all))
	assert.Equal(t, steering.HomeRegions{"b"}, ab.Intersect(bc))
	for _, none := range []steering.HomeRegions{ab.Intersect(d), ab.Intersect(steering.NoHomeRegion), all.Intersect(steering.NoHomeRegion), {""}} {
		assert.True(t, none.AllowsNone())
		assert.False(t, none.Allows("a"))
	}
	assert.False(t, all.AllowsNone())
	assert.False(t, ab.AllowsNone())
}

// Guards against attributing requests to one of several accounts with the same key,
// which would depend on the order of a map.
func TestKeyOfSeveralAccountsBelongsToNone(t *testing.T) {
	shared, own := steering.HashKey("shared"), steering.HashKey("own")
	c := indexedConfig(steering.Config{Accounts: map[string]*steering.Account{
		"a": {Name: "a", KeyHashes: []steering.KeyHash{shared, own, own}},
		"b": {Name: "b", KeyHashes: []steering.KeyHash{shared}},
		"c": {Name: "c", KeyHashes: []steering.KeyHash{shared}},
	}})
	assert.Nil(t, c.AccountOfKey("shared"))
	assert.Equal(t, "a", c.AccountOfKey("own").Name)
	assert.Nil(t, c.AccountOfKey("ow"))
}
