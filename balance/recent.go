package balance

import "container/list"

// maxRecentObjects bounds the objects remembered for a target.
const maxRecentObjects = 64

// objectLRU is the set of the objects that were handled last.
type objectLRU struct {
	order list.List // Of string, latest first.
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
