//go:build race

package quota_test

const raceEnabled = true
