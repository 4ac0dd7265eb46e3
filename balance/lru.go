package balance

import "container/list"

// maxRecentObjects limits the number of objects remembered per target.
const maxRecentObjects = 64

// objectLRU is a set of the most recently handled objects.
type objectLRU struct {
	order list.List // Strings, most recent first.
	index map[string]*list.Element
}

func newObjectLRU() *objectLRU { return &objectLRU{index: map[string]*list.Element{}} }

func (r *objectLRU) has(object string) bool { return r.index[object] != nil }

func (r *objectLRU) add(object string) {
	if e := r.index[object]; e != nil {
		r.order.MoveToFront(e)
		return
	}
	r.index[object] = r.order.PushFront(object)
	if r.order.Len() > maxRecentObjects {
		oldest := r.order.Back()
		r.order.Remove(oldest)
		delete(r.index, oldest.Value.(string))
	}
}
