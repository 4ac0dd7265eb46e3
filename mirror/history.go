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
func (h *history) reset(revision uint64) {
	h.items, h.index, h.completeAfter = nil, map[string]int{}, revision
}

func (h *history) add(c kv.Item) {
	if h.index == nil {
		h.index = map[string]int{}
	}
	if i, known := h.index[c.Key]; known {
		h.items[i] = kv.Item{}
	}
	h.index[c.Key] = len(h.items)
	h.items = append(h.items, c)
	if len(h.items) > 2*maxHistoryKeys {
		h.compact()
	}
}

// compact removes empty items, and the oldest ones beyond the bound.
func (h *history) compact() {
	excess := len(h.index) - maxHistoryKeys
	kept := make([]kv.Item, 0, maxHistoryKeys)
	h.index = make(map[string]int, maxHistoryKeys)
	for _, c := range h.items {
		if c.Key == "" {
			continue
		}
		if excess > 0 {
			excess--
			h.completeAfter = max(h.completeAfter, c.Revision)
			continue
		}
		h.index[c.Key] = len(kept)
		kept = append(kept, c)
	}
	h.items = kept
}

// since returns the changes after a revision. It reports whether all of them
// are known.
func (h *history) since(after uint64) ([]kv.Item, bool) {
	if h.completeAfter == 0 || after < h.completeAfter {
		return nil, false
	}
	var changes []kv.Item
	for _, c := range h.items {
		if c.Key != "" && c.Revision > after {
			changes = append(changes, c)
		}
	}
	return changes, true
}
