package mirror

import "github.com/jacinthstall/jacinthstall/kv"

// maxHistoryKeys bounds the changes that are kept for peers. It covers the
// registrations of all instances and targets when a large deployment starts. A
// peer that lags further behind gets all records.
const maxHistoryKeys = 4096

// history holds the latest change of each recently changed key. Peers don't
// need older changes of a key, and a configuration of some 100 KB may change
// often.
type history struct {
	items []kv.Item      // In order of arrival; a later change of the key leaves an empty item behind.
	index map[string]int // Index of the latest change of a key.
	// completeAfter is the number of the revision, in the era of the mirror, after
	// which all changes are held; 0 means that no such revision is known.
	completeAfter uint64
}

// reset drops all changes. The changes up to the given revision are not known
// individually.
func (history *history) reset(revision uint64) {
	history.items, history.index, history.completeAfter = nil, map[string]int{}, revision
}

func (history *history) add(change kv.Item) {
	if history.index == nil {
		history.index = map[string]int{}
	}
	if i, known := history.index[change.Key]; known {
		history.items[i] = kv.Item{}
	}
	history.index[change.Key] = len(history.items)
	history.items = append(history.items, change)
	if len(history.items) > 2*maxHistoryKeys {
		history.compact()
	}
}

// replace replaces the latest change of a key if it is held.
func (history *history) replace(change kv.Item) {
	if i, known := history.index[change.Key]; known {
		history.items[i] = change
	}
}

// compact removes empty items and the oldest ones in excess of maxHistoryKeys.
func (history *history) compact() {
	excess := len(history.index) - maxHistoryKeys
	kept := make([]kv.Item, 0, maxHistoryKeys)
	history.index = make(map[string]int, maxHistoryKeys)
	for _, change := range history.items {
		if change.Key == "" {
			continue
		}
		if excess > 0 {
			excess--
			history.completeAfter = max(history.completeAfter, change.Revision)
			continue
		}
		history.index[change.Key] = len(kept)
		kept = append(kept, change)
	}
	history.items = kept
}

// since returns the changes after a revision. It reports whether the history
// covers all of them.
func (history *history) since(after uint64) ([]kv.Item, bool) {
	if history.completeAfter == 0 || after < history.completeAfter {
		return nil, false
	}
	var changes []kv.Item
	for _, change := range history.items {
		if change.Key != "" && change.Revision > after {
			changes = append(changes, change)
		}
	}
	return changes, true
}
