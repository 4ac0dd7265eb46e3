package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/wiresite"
	"github.com/jacinthstall/jacinthstall/steering"
)

var jsonToken = regexp.MustCompile(`"[^"]*"|-?[0-9][0-9.]*|true|false|[{}\[\],:]`)

// mutateRecord replaces tokens of a JSON text by values of other types and limits.
func mutateRecord(random *rand.Rand, text string) string {
	special := []string{"0", "-1", "1e308", "-1e308", "9223372036854775807", "-9223372036854775808", "18446744073709551616", "0.5", "null", "true", `""`, `"x"`,
		`"0s"`, `"-1s"`, `"9e99s"`, `"NaN"`, `"127.0.0.1:0"`, `"127.0.0.1:99999"`, `"r"`, "{}", "[]", "[[]]", `{"a":{}}`, "", "\xff", "\x00"}
	for range 1 + random.IntN(3) {
		tokens := jsonToken.FindAllStringIndex(text, -1)
		if len(tokens) == 0 {
			break
		}
		at := tokens[random.IntN(len(tokens))]
		text = text[:at[0]] + special[random.IntN(len(special))] + text[at[1]:]
	}
	return text
}

// Guards against a record in the store that ends the process when it is decoded or
// used. The version of the configuration stays valid, so that the last record is in
// force at the end.
func TestArbitraryRecordsDoNotEndTheProcess(t *testing.T) {
	const seed, records = 1, 1500
	p := newProcess(t, 0)
	p.startReady()
	random := rand.New(rand.NewPCG(seed, 0))
	target := string(p.targetRecord)
	instance, err := json.Marshal(steering.Instance{Name: "n2", Domain: "d", Region: "r", Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:2", Capacity: 1})
	require.NoError(t, err)
	homes, err := platform.Codec{}.HomesValue(&steering.HomeTable{Objects: map[uint32]uint32{1: 2, 3: 4}})
	require.NoError(t, err)
	crashes, err := platform.Codec{}.CrashesValue(&steering.CrashTable{Requests: map[uint64]steering.Suspicion{1: {CrashCount: steering.CrashCount{Crashes: 3}}}})
	require.NoError(t, err)
	config := regexp.MustCompile(`^(.*)("version".*)$`)
	for i := range records {
		record := wiresite.Config(int64(i+2), "s", wiresite.Route{Segment: "app", Timeout: 8 * time.Second}, wiresite.Route{Segment: "other", Idempotent: true, Timeout: time.Second})
		if i%3 == 0 {
			record = wiresite.WithAccounts(record, wiresite.Account{Name: "a", Keys: []string{"k1", "k2"}, RatePerS: 5, Burst: 2, HomeRegions: []string{"r"}}, wiresite.Account{Name: "b", Keys: []string{"k3"}, Priority: 1})
		}
		parts := config.FindStringSubmatch(string(record))
		require.Len(t, parts, 3)
		p.store.Put(wiresite.ConfigKey, []byte(mutateRecord(random, parts[1])+parts[2]))
		p.store.Put(wiresite.TargetKey(fmt.Sprint("t", random.IntN(4))), []byte(mutateRecord(random, target)))
		p.store.Put(platform.Codec{}.InstanceKey("n2"), []byte(mutateRecord(random, string(instance))))
		p.store.Put(platform.Codec{}.HomesKey("r"), []byte(mutateRecord(random, string(homes))))
		p.store.Put(platform.Codec{}.CrashesKey(), []byte(mutateRecord(random, string(crashes))))
		p.store.Put(wiresite.EvacuationKey(string(rune('a'+i%5))), []byte(mutateRecord(random, "{}")))
		if i%10 != 0 {
			continue
		}
		c, err := p.dial()
		if assert.NoError(t, err, "record %d", i) {
			_, _ = c.send()
			_, _, err = c.receive()
			assert.NoError(t, err, "record %d", i)
			_ = c.Close()
		}
		require.False(t, p.hasEnded(), "record %d: %v", i, p.cmd.ProcessState)
	}
	p.store.Put(wiresite.ConfigKey, wiresite.Config(records+2, "s", wiresite.Route{Segment: "app", Timeout: 8 * time.Second}))
	p.store.Put(wiresite.TargetKey("t0"), p.targetRecord)
	for i := range 5 {
		p.store.Delete(wiresite.EvacuationKey(string(rune('a' + i))))
	}
	for i := 1; i < 4; i++ {
		p.store.Delete(wiresite.TargetKey(fmt.Sprint("t", i)))
	}
	require.Eventually(t, func() bool {
		c, err := p.dial()
		if err != nil {
			return false
		}
		defer func() { _ = c.Close() }()
		if _, err := c.send(); err != nil {
			return false
		}
		status, _, err := c.receive()
		return err == nil && status == 200
	}, 20*time.Second, 100*time.Millisecond)
	assert.False(t, p.hasEnded())
}
