package policy

// Conflict is an object that two edits of the same document changed
// differently. A value is nil where the object does not exist.
type Conflict struct {
	Path   string `json:"path"` // As in Change.
	Base   any    `json:"base,omitempty"`
	Mine   any    `json:"mine,omitempty"`
	Theirs any    `json:"theirs,omitempty"`
}

// Merge applies the changes from base to mine to theirs. Each object (the log
// level, the timing, and each named object of a list) comes from the edit that
// changed it; an object that both changed differently is a conflict. The
// merged document has the version of theirs and is nil when there are
// conflicts. It may be invalid, such as when one edit removes a service and
// the other adds a target of it, so the caller checks it with Parse.
func Merge(base, mine, theirs *Document) (*Document, []Conflict) {
	m := merger{}
	d := m.merge(base, mine, theirs)
	if len(m.conflicts) > 0 {
		return nil, m.conflicts
	}
	return d, nil
}

// MergeSide is one of the two edits of a merge.
type MergeSide int

// Sides.
const (
	Mine MergeSide = iota + 1
	Theirs
)

// MergePreferring merges like Merge and takes the objects that both edits
// changed from one side.
func MergePreferring(base, mine, theirs *Document, side MergeSide) *Document {
	m := merger{prefer: side}
	return m.merge(base, mine, theirs)
}

func (m *merger) merge(base, mine, theirs *Document) *Document {
	return &Document{
		Version:          theirs.Version,
		LogLevel:         mergeValue(m, "/logLevel", base.LogLevel, mine.LogLevel, theirs.LogLevel),
		Timing:           mergeValue(m, "/timing", base.Timing, mine.Timing, theirs.Timing),
		Regions:          mergeList(m, regionKind, base.Regions, mine.Regions, theirs.Regions),
		Links:            mergeList(m, linkKind, base.Links, mine.Links, theirs.Links),
		Sites:            mergeList(m, siteKind, base.Sites, mine.Sites, theirs.Sites),
		Services:         mergeList(m, serviceKind, base.Services, mine.Services, theirs.Services),
		Targets:          mergeList(m, targetKind, base.Targets, mine.Targets, theirs.Targets),
		Moves:            mergeList(m, moveKind, base.Moves, mine.Moves, theirs.Moves),
		Blocks:           mergeList(m, blockKind, base.Blocks, mine.Blocks, theirs.Blocks),
		LeavingInstances: mergeList(m, leavingKind, base.LeavingInstances, mine.LeavingInstances, theirs.LeavingInstances),
	}
}

type merger struct {
	prefer    MergeSide // 0 makes a conflict of an object that both sides changed.
	conflicts []Conflict
}

func mergeValue[T comparable](m *merger, path string, base, mine, theirs T) T {
	switch {
	case mine == base || mine == theirs:
		return theirs
	case theirs == base || m.prefer == Mine:
		return mine
	case m.prefer == Theirs:
		return theirs
	}
	m.conflicts = append(m.conflicts, Conflict{path, base, mine, theirs})
	return theirs
}

// optionalObject is an object as one document has it; nil where it does not exist.
type optionalObject[T any] struct{ object *T }

func findObject[T any](list []T, index map[string]int, key string) optionalObject[T] {
	if i, ok := index[key]; ok {
		return optionalObject[T]{&list[i]}
	}
	return optionalObject[T]{}
}

func (v optionalObject[T]) equal(k objectKind[T], w optionalObject[T]) bool {
	if v.object == nil || w.object == nil {
		return v.object == w.object
	}
	return k.equal(*v.object, *w.object)
}

func (v optionalObject[T]) value() any {
	if v.object == nil {
		return nil
	}
	return *v.object
}

// mergeList keeps the order of theirs and appends the objects that mine adds.
func mergeList[T any](m *merger, k objectKind[T], base, mine, theirs []T) []T {
	inBase, inMine, inTheirs := k.index(base), k.index(mine), k.index(theirs)
	var out []T
	merge := func(key string) {
		chosen := mergeObject(m, k, findObject(base, inBase, key), findObject(mine, inMine, key), findObject(theirs, inTheirs, key))
		if chosen.object != nil {
			out = append(out, *chosen.object)
		}
	}
	for _, object := range theirs {
		merge(k.key(object))
	}
	for _, object := range mine {
		if _, done := inTheirs[k.key(object)]; !done {
			merge(k.key(object))
		}
	}
	return out
}

func mergeObject[T any](m *merger, k objectKind[T], base, mine, theirs optionalObject[T]) optionalObject[T] {
	switch {
	case mine.equal(k, base) || mine.equal(k, theirs):
		return theirs
	case theirs.equal(k, base) || m.prefer == Mine:
		return mine
	case m.prefer == Theirs:
		return theirs
	}
	some := mine
	if some.object == nil {
		some = theirs
	}
	m.conflicts = append(m.conflicts, Conflict{k.path(*some.object), base.value(), mine.value(), theirs.value()})
	return theirs
}
