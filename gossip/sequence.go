package gossip

// sequenceFilter tells which messages of a sender are new. Datagrams may arrive late
// or twice. An incarnation is a random number, not a time: the clock of an
// instance may be set back between two starts.
type sequenceFilter struct {
	incarnation         uint64
	sequence            uint64
	previousIncarnation uint64 // The incarnation before, whose messages may still arrive.
}

// accept reports whether a message is newer than all that were taken, and takes it.
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
