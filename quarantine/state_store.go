package quarantine

import "container/list"

// stateStore holds a bounded number of fingerprint states. When it is full, it
// drops the state whose last put is the oldest.
type stateStore struct {
	maxStates int
	order     *list.List // Of *fingerprintState; latest put first.
	elements  map[Fingerprint]*list.Element
}

func newStateStore(maxStates int) *stateStore {
	return &stateStore{maxStates: maxStates, order: list.New(), elements: map[Fingerprint]*list.Element{}}
}

func (store *stateStore) get(fingerprint Fingerprint) *fingerprintState {
	if element, ok := store.elements[fingerprint]; ok {
		return element.Value.(*fingerprintState)
	}
	return nil
}

func (store *stateStore) put(state *fingerprintState) {
	if element, ok := store.elements[state.fingerprint]; ok {
		store.order.MoveToFront(element)
		return
	}
	store.elements[state.fingerprint] = store.order.PushFront(state)
	if store.order.Len() > store.maxStates {
		store.remove(store.order.Back().Value.(*fingerprintState).fingerprint)
	}
}

func (store *stateStore) remove(fingerprint Fingerprint) {
	if element, ok := store.elements[fingerprint]; ok {
		store.order.Remove(element)
		delete(store.elements, fingerprint)
	}
}
