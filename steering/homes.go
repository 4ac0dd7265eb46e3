package steering

// HomeTable names the targets to which objects of a region were moved, so that
// no target has much more to do than others. Objects that it does not name are
// where their hash puts them.
type HomeTable struct {
	Revision uint64            // Of the store; 0 when there is no table yet.
	Objects  map[uint32]uint32 // Short hash of a target's ID by that of service and object.
}

// HomeTableUpdate states the table of a region.
type HomeTableUpdate struct {
	Region string
	Table  *HomeTable // Nil when there is none any more.
}

func (f HomeTableUpdate) apply(d *stateBuilder) {
	copyOnWrite(&d.HomeTables, &d.copied.homes)
	if f.Table == nil {
		delete(d.HomeTables, f.Region)
		return
	}
	d.HomeTables[f.Region] = f.Table
}
