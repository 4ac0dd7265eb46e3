package quarantine

import "container/list"

// store holds entries of one kind and forgets the one that changed longest ago
// when it is full.
type store struct {
	limit int
	order *list.List // Of *entry; latest change first.
	where map[Fingerprint]*list.Element
}

func newStore(limit int) *store {
	return &store{limit: limit, order: list.New(), where: map[Fingerprint]*list.Element{}}
}

func (s *store) get(f Fingerprint) *entry {
	if element, ok := s.where[f]; ok {
		return element.Value.(*entry)
	}
	return nil
}

func (s *store) put(e *entry) {
	if element, ok := s.where[e.fingerprint]; ok {
		s.order.MoveToFront(element)
		return
	}
	s.where[e.fingerprint] = s.order.PushFront(e)
	if s.order.Len() > s.limit {
		s.remove(s.order.Back().Value.(*entry).fingerprint)
	}
}

func (s *store) remove(f Fingerprint) {
	if element, ok := s.where[f]; ok {
		s.order.Remove(element)
		delete(s.where, f)
	}
}
