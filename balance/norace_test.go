//go:build !race

package balance_test

const raceEnabled = false
