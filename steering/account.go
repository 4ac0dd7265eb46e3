package steering

import (
	"crypto/sha256"
	"strconv"
)

// Account is a client account. Its name is sent to targets, its keys are not.
type Account struct {
	Name              string
	Priority          int     // 0 is the highest.
	RequestsPerSecond float64 // Over all instances; 0 means no limit.
	Burst             float64 // Requests above RequestsPerSecond; applies only where that is above 0.
	HomeRegions       HomeRegions
	// KeyHashes identify the account's API keys. The keys themselves are not kept,
	// so that no output of the configuration can contain one.
	KeyHashes []KeyHash
}

// KeyHash is the SHA-256 hash of an API key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Rank orders requests that compete for capacity, by the priority of the account
// and then by that of the route. 0 is the highest of both.
type Rank struct{ Account, Route int }

// Before reports whether requests of this rank take precedence over those of
// another one.
func (rank Rank) Before(other Rank) bool {
	if rank.Account != other.Account {
		return rank.Account < other.Account
	}
	return rank.Route < other.Route
}

// String returns the rank as it appears in log lines: the priorities of the account
// and the route.
func (rank Rank) String() string { return strconv.Itoa(rank.Account) + "/" + strconv.Itoa(rank.Route) }

// RankOf returns the rank of the requests of an account on a route. The account
// is nil for requests without one.
func (config *Config) RankOf(account *Account, route *Route) Rank {
	if account == nil {
		return Rank{Account: config.DefaultPriority, Route: route.Priority}
	}
	return Rank{Account: account.Priority, Route: route.Priority}
}

// AccountOfKey returns the account to which an API key belongs, or nil. The time
// it takes does not depend on how much of the key is correct, because keys are
// compared by hash.
func (config *Config) AccountOfKey(key string) *Account {
	if key == "" {
		return nil
	}
	return config.accountsByKey[HashKey(key)]
}

// indexKeys builds the index for AccountOfKey. A key of several accounts belongs to
// none of them, because requests with it could be attributed to the wrong one.
func (config *Config) indexKeys() {
	config.accountsByKey = map[KeyHash]*Account{}
	for _, account := range config.Accounts {
		for _, hash := range account.KeyHashes {
			if other, used := config.accountsByKey[hash]; used && other != account {
				config.accountsByKey[hash] = nil
				continue
			}
			config.accountsByKey[hash] = account
		}
	}
}
