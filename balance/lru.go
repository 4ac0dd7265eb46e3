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

func (lru *objectLRU) has(object string) bool { return lru.index[object] != nil }

func (lru *objectLRU) add(object string) {
	if e := lru.index[object]; e != nil {
		lru.order.MoveToFront(e)
		return
	}
	lru.index[object] = lru.order.PushFront(object)
	if lru.order.Len() > maxRecentObjects {
		oldest := lru.order.Back()
		lru.order.Remove(oldest)
		delete(lru.index, oldest.Value.(string))
	}
}
