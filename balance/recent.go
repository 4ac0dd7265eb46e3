package balance

import "container/list"

// recentObjects bounds the objects remembered for a target.
const recentObjects = 64

// recent is the set of the objects that were handled last.
type recent struct {
	order list.List // Of string, latest first.
	index map[string]*list.Element
}

func newRecent() *recent { return &recent{index: map[string]*list.Element{}} }

func (r *recent) has(object string) bool { return r.index[object] != nil }

func (r *recent) add(object string) {
	if e := r.index[object]; e != nil {
		r.order.MoveToFront(e)
		return
	}
	r.index[object] = r.order.PushFront(object)
	if r.order.Len() > recentObjects {
		oldest := r.order.Back()
		r.order.Remove(oldest)
		delete(r.index, oldest.Value.(string))
	}
}
