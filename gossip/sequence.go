package gossip

// sequenceFilter rejects messages of a sender that are not newer than the ones
// accepted before: datagrams may arrive late or twice. Incarnations are random
// numbers rather than times, because the clock of an instance may be set back
// between two starts.
type sequenceFilter struct {
	incarnation         uint64
	sequence            uint64
	previousIncarnation uint64 // Messages of this one may still arrive.
}

// accept records a message and reports whether it is newer than all accepted
// before.
func (filter *sequenceFilter) accept(m *Message) bool {
	switch {
	case m.Incarnation == filter.incarnation && m.Sequence <= filter.sequence:
		return false
	case m.Incarnation == filter.previousIncarnation && filter.previousIncarnation != 0:
		return false
	case m.Incarnation != filter.incarnation:
		filter.previousIncarnation = filter.incarnation
	}
	filter.incarnation, filter.sequence = m.Incarnation, m.Sequence
	return true
}
