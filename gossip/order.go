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
func (o *sequenceFilter) accept(m *Message) bool {
	switch {
	case m.Incarnation == o.incarnation && m.Sequence <= o.sequence:
		return false
	case m.Incarnation == o.previousIncarnation && o.previousIncarnation != 0:
		return false
	case m.Incarnation != o.incarnation:
		o.previousIncarnation = o.incarnation
	}
	o.incarnation, o.sequence = m.Incarnation, m.Sequence
	return true
}
