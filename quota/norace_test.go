//go:build !race

package quota_test

const raceEnabled = false
