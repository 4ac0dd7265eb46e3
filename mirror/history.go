package mirror

import "github.com/jacinthstall/jacinthstall/kv"

// maxHistoryKeys bounds the changes that are kept for peers. It covers the
// registrations of all instances and targets of a large deployment that
// starts; a peer that is farther behind gets all records.
const maxHistoryKeys = 4096

// history is the latest change of each of the keys that changed lately. Peers
// need no older ones, and a configuration of some 100 KB may change often.
type history struct {
	items []kv.Item      // In the order of arrival; a later change of the key leaves an empty item.
	index map[string]int // Index of the latest change of a key.
	// completeAfter is the revision after which all changes are held; 0 means none are.
	completeAfter uint64
}

// reset forgets all changes: those up to a revision are not known one by one.
func (history *history) reset(revision uint64) {
	history.items, history.index, history.completeAfter = nil, map[string]int{}, revision
}

func (history *history) add(c kv.Item) {
	if history.index == nil {
		history.index = map[string]int{}
	}
	if i, known := history.index[c.Key]; known {
		history.items[i] = kv.Item{}
	}
	history.index[c.Key] = len(history.items)
	history.items = append(history.items, c)
	if len(history.items) > 2*maxHistoryKeys {
		history.compact()
	}
}

// compact removes empty items, and the oldest ones beyond the bound.
func (history *history) compact() {
	excess := len(history.index) - maxHistoryKeys
	kept := make([]kv.Item, 0, maxHistoryKeys)
	history.index = make(map[string]int, maxHistoryKeys)
	for _, c := range history.items {
		if c.Key == "" {
			continue
		}
		if excess > 0 {
			excess--
			history.completeAfter = max(history.completeAfter, c.Revision)
			continue
		}
		history.index[c.Key] = len(kept)
		kept = append(kept, c)
	}
	history.items = kept
}

// since returns the changes after a revision. It reports whether all of them
// are known.
func (history *history) since(after uint64) ([]kv.Item, bool) {
	if history.completeAfter == 0 || after < history.completeAfter {
		return nil, false
	}
	var changes []kv.Item
	for _, c := range history.items {
		if c.Key != "" && c.Revision > after {
			changes = append(changes, c)
		}
	}
	return changes, true
}
