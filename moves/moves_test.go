package moves_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/moves"
	"github.com/jacinthstall/jacinthstall/policy"
)

var testMoves = []policy.Move{
	{Service: "reports", From: "ie-west", To: "uk-north", Percent: 30, CapMbit: 10},
	{Service: "reports", From: "ie-west", To: "eu-central", Percent: 20, CapMbit: 10},
	{Service: "bookings", From: "uk-north", To: "ie-west", Percent: 100, CapMbit: 10},
	{Service: "timetables", From: "uk-north", To: "ie-west", Percent: 0, CapMbit: 10},
}

// Guards against requests of another service, region or class that are moved.
func TestRoute(t *testing.T) {
	for _, c := range []struct {
		service, region string
		hash            uint64
		to              string // Empty when the request stays.
	}{
		{"reports", "ie-west", 0, "eu-central"},
		{"reports", "ie-west", 19, "eu-central"},
		{"reports", "ie-west", 20, "uk-north"},
		{"reports", "ie-west", 49, "uk-north"},
		{"reports", "ie-west", 50, ""},
		{"reports", "ie-west", 99, ""},
		{"reports", "ie-west", 100, "eu-central"},
		{"reports", "uk-north", 0, ""},
		{"bookings", "uk-north", 99, "ie-west"},
		{"bookings", "ie-west", 0, ""},
		{"timetables", "uk-north", 0, ""},
		{"unknown", "uk-north", 0, ""},
	} {
		m, moved := moves.Route(testMoves, c.service, c.region, c.hash)
		assert.Equal(t, c.to != "", moved, "%+v", c)
		assert.Equal(t, c.to, m.To, "%+v", c)
	}
}

// Guards against instances that disagree because they hold the moves in another
// order.
func TestRouteIsIndependentOfListOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	shuffled := append([]policy.Move(nil), testMoves...)
	for range 20 {
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		for hash := range uint64(100) {
			want, moved := moves.Route(testMoves, "reports", "ie-west", hash)
			got, ok := moves.Route(shuffled, "reports", "ie-west", hash)
			assert.Equal(t, moved, ok)
			assert.Equal(t, want, got)
		}
	}
}

// Guards against a request that a move gives back when its percentage rises.
func TestRisingPercentKeepsMovedRequests(t *testing.T) {
	for hash := range uint64(100) {
		movedBefore := false
		for percent := range 101 {
			_, moved := moves.Route([]policy.Move{{Service: "s", From: "a", To: "b", Percent: percent}}, "s", "a", hash)
			assert.False(t, movedBefore && !moved, "hash %d at %d%%", hash, percent)
			movedBefore = moved
		}
		assert.True(t, movedBefore)
	}
}
