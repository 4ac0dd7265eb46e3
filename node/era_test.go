package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/steering"
)

// Guards against a registration of an older era that is not written again, that is
// written more than once, or by all instances at the same moment.
func TestRegistrationIsWrittenOnceInANewEra(t *testing.T) {
	now := time.Unix(1000, 0)
	var schedule registrationSchedule
	assert.Zero(t, schedule.wait(now, false, false, time.Second))
	schedule.succeeded(now)
	assert.Equal(t, registrationCheckInterval, schedule.wait(now, true, false, time.Second))
	assert.Equal(t, 1500*time.Millisecond, schedule.wait(now, true, true, 1500*time.Millisecond))
	now = now.Add(time.Second)
	assert.Equal(t, 500*time.Millisecond, schedule.wait(now, true, true, 0), "the delay is chosen once")
	now = now.Add(500 * time.Millisecond)
	assert.Zero(t, schedule.wait(now, true, true, 0))
	schedule.succeeded(now)
	assert.Equal(t, registrationCheckInterval, schedule.wait(now.Add(time.Second), true, false, 0))
	assert.Equal(t, time.Second, rewriteSpread(4))
	assert.Equal(t, 1440*time.Millisecond, rewriteSpread(72))
	assert.Equal(t, maxRewriteSpread, rewriteSpread(8000))
}

// Guards against a home table that is lost with a restore, that is written although
// the region has a newer one, or that is written with a revision of another era.
func TestLostHomeTableIsWrittenOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	objects := map[uint32]uint32{1: 2}
	lost := &lostHomeTable{objects: objects, read: kv.Revision{Era: 2, Number: 50}, due: now.Add(time.Second), expires: now.Add(lostHomeTableTTL)}
	other := map[uint32]uint32{1: 3}
	for name, c := range map[string]struct {
		after   time.Duration
		current *steering.HomeTable
		want    *steering.HomeTable
		pending bool
	}{
		"not yet":                {0, nil, nil, true},
		"none":                   {time.Second, nil, &steering.HomeTable{Objects: objects}, true},
		"unconfirmed":            {time.Second, &steering.HomeTable{Era: 1, Revision: 90, Objects: objects}, &steering.HomeTable{Era: 1, Revision: 90, Objects: objects}, true},
		"older":                  {time.Second, &steering.HomeTable{Era: 2, Revision: 20, Objects: other}, &steering.HomeTable{Era: 2, Revision: 20, Objects: objects}, true},
		"the same":               {time.Second, &steering.HomeTable{Era: 2, Revision: 20, Objects: objects}, nil, false},
		"written since":          {time.Second, &steering.HomeTable{Era: 2, Revision: 51, Objects: other}, nil, false},
		"written in a later era": {time.Second, &steering.HomeTable{Era: 3, Revision: 1, Objects: other}, nil, false},
		"too late":               {time.Minute, nil, nil, false},
	} {
		table, pending := lost.next(now.Add(c.after), c.current)
		assert.Equal(t, c.want, table, name)
		assert.Equal(t, c.pending, pending, name)
	}
}

// Guards against a crash table that the store has lost and that no instance writes
// because it still holds it.
func TestCrashTableOfAnOlderEraDiffers(t *testing.T) {
	refused := map[uint64]steering.Suspicion{7: {}}
	table := &steering.CrashTable{Era: 1, Requests: refused}
	assert.False(t, crashTableDiffers(table, refused, 1))
	assert.True(t, crashTableDiffers(table, refused, 2))
	assert.False(t, crashTableDiffers(table, nil, 2), "there is nothing to write")
}
