package steering

// HomeTable holds the home targets of objects that were moved to balance the
// load in a region. Objects without an entry have the home target that their
// hash selects.
type HomeTable struct {
	Revision uint64            // Store revision; 0 if there is no table yet.
	Era      uint64            // Era of the revision.
	Objects  map[uint32]uint32 // Short hash of the target ID by short hash of service and object.
}

// HomeTableUpdate sets or removes the home table of a region.
type HomeTableUpdate struct {
	Region string
	Table  *HomeTable // Nil if the table was removed.
}

func (update HomeTableUpdate) apply(builder *stateBuilder) {
	copyOnWrite(&builder.HomeTables, &builder.copied.homes)
	if update.Table == nil {
		delete(builder.HomeTables, update.Region)
		return
	}
	builder.HomeTables[update.Region] = update.Table
}
