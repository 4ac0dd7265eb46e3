package quarantine

import "container/list"

// stateStore holds entries of one kind and forgets the one that changed longest ago
// when it is full.
type stateStore struct {
	maxStates int
	order     *list.List // Of *entry; latest change first.
	elements  map[Fingerprint]*list.Element
}

func newStateStore(limit int) *stateStore {
	return &stateStore{maxStates: limit, order: list.New(), elements: map[Fingerprint]*list.Element{}}
}

func (s *stateStore) get(f Fingerprint) *fingerprintState {
	if element, ok := s.elements[f]; ok {
		return element.Value.(*fingerprintState)
	}
	return nil
}

func (s *stateStore) put(e *fingerprintState) {
	if element, ok := s.elements[e.fingerprint]; ok {
		s.order.MoveToFront(element)
		return
	}
	s.elements[e.fingerprint] = s.order.PushFront(e)
	if s.order.Len() > s.maxStates {
		s.remove(s.order.Back().Value.(*fingerprintState).fingerprint)
	}
}

func (s *stateStore) remove(f Fingerprint) {
	if element, ok := s.elements[f]; ok {
		s.order.Remove(element)
		delete(s.elements, f)
	}
}
