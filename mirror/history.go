package mirror

import "github.com/jacinthstall/jacinthstall/kv"

// historyItems bounds the changes that are kept for peers. It covers several
// minutes of ordinary changes; a peer that is farther behind gets all records.
const historyItems = 256

// history is the latest changes.
type history struct {
	items []kv.Item // In the order of arrival.
	// from is the revision after which all changes are held; 0 means none are.
	from uint64
}

// restart forgets all changes: those up to a revision are not known one by one.
func (h *history) restart(revision uint64) { h.items, h.from = nil, revision }

func (h *history) add(c kv.Item) {
	h.items = append(h.items, c)
	if len(h.items) <= historyItems {
		return
	}
	dropped := len(h.items) - historyItems
	for _, old := range h.items[:dropped] {
		h.from = max(h.from, old.Revision)
	}
	h.items = append([]kv.Item(nil), h.items[dropped:]...)
}

// since returns the changes after a revision. It reports whether all of them
// are known.
func (h *history) since(after uint64) ([]kv.Item, bool) {
	if h.from == 0 || after < h.from {
		return nil, false
	}
	var changes []kv.Item
	for _, c := range h.items {
		if c.Revision > after {
			changes = append(changes, c)
		}
	}
	return changes, true
}
