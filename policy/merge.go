package policy

// Conflict describes an object that two edits of the same document changed
// differently. A value is nil if the object does not exist in that document.
type Conflict struct {
	Path   string `json:"path"` // As in Change.
	Base   any    `json:"base,omitempty"`
	Mine   any    `json:"mine,omitempty"`
	Theirs any    `json:"theirs,omitempty"`
}

// Merge applies the changes between base and mine to theirs. The objects that are
// merged are the log level, the timing and each object of a list. An object is
// taken from the edit that changed it; if both edits changed it differently, it is
// a conflict. The merged document has the version of theirs. If there are
// conflicts, it is nil. The result may be invalid, for example if one edit removes
// a service and the other adds a target of it, so the caller must validate it with
// Parse.
func Merge(base, mine, theirs *Document) (*Document, []Conflict) {
	merger := merger{}
	merged := merger.merge(base, mine, theirs)
	if len(merger.conflicts) > 0 {
		return nil, merger.conflicts
	}
	return merged, nil
}

// MergeSide identifies one of the two edits of a merge.
type MergeSide int

// Sides of a merge.
const (
	Mine MergeSide = iota + 1
	Theirs
)

// MergePreferring merges like Merge, but takes objects that both edits changed
// from one side.
func MergePreferring(base, mine, theirs *Document, side MergeSide) *Document {
	merger := merger{prefer: side}
	return merger.merge(base, mine, theirs)
}

func (merger *merger) merge(base, mine, theirs *Document) *Document {
	return &Document{
		Version:          theirs.Version,
		LogLevel:         mergeValue(merger, "/logLevel", base.LogLevel, mine.LogLevel, theirs.LogLevel),
		Timing:           mergeValue(merger, "/timing", base.Timing, mine.Timing, theirs.Timing),
		Regions:          mergeList(merger, regionKind, base.Regions, mine.Regions, theirs.Regions),
		Links:            mergeList(merger, linkKind, base.Links, mine.Links, theirs.Links),
		Sites:            mergeList(merger, siteKind, base.Sites, mine.Sites, theirs.Sites),
		Services:         mergeList(merger, serviceKind, base.Services, mine.Services, theirs.Services),
		Targets:          mergeList(merger, targetKind, base.Targets, mine.Targets, theirs.Targets),
		Moves:            mergeList(merger, moveKind, base.Moves, mine.Moves, theirs.Moves),
		Blocks:           mergeList(merger, blockKind, base.Blocks, mine.Blocks, theirs.Blocks),
		LeavingInstances: mergeList(merger, leavingKind, base.LeavingInstances, mine.LeavingInstances, theirs.LeavingInstances),
	}
}

type merger struct {
	prefer    MergeSide // 0 if objects that both sides changed are conflicts.
	conflicts []Conflict
}

// mergeValue returns the value to keep, and records a conflict if both edits
// changed it differently and no side is preferred.
func mergeValue[T comparable](merger *merger, path string, base, mine, theirs T) T {
	switch {
	case mine == base || mine == theirs:
		return theirs
	case theirs == base || merger.prefer == Mine:
		return mine
	case merger.prefer == Theirs:
		return theirs
	}
	merger.conflicts = append(merger.conflicts, Conflict{path, base, mine, theirs})
	return theirs
}

// optionalObject is an object of one document. The pointer is nil if the document
// does not contain the object.
type optionalObject[T any] struct{ object *T }

func findObject[T any](list []T, index map[string]int, key string) optionalObject[T] {
	if i, ok := index[key]; ok {
		return optionalObject[T]{&list[i]}
	}
	return optionalObject[T]{}
}

func (optional optionalObject[T]) equal(kind objectKind[T], other optionalObject[T]) bool {
	if optional.object == nil || other.object == nil {
		return optional.object == other.object
	}
	return kind.equal(*optional.object, *other.object)
}

func (optional optionalObject[T]) value() any {
	if optional.object == nil {
		return nil
	}
	return *optional.object
}

// mergeList merges two lists of objects by key. It keeps the order of theirs and
// appends the objects that only mine contains.
func mergeList[T any](merger *merger, kind objectKind[T], base, mine, theirs []T) []T {
	inBase, inMine, inTheirs := kind.index(base), kind.index(mine), kind.index(theirs)
	var out []T
	appendMerged := func(key string) {
		chosen := mergeObject(merger, kind, findObject(base, inBase, key), findObject(mine, inMine, key), findObject(theirs, inTheirs, key))
		if chosen.object != nil {
			out = append(out, *chosen.object)
		}
	}
	for _, object := range theirs {
		appendMerged(kind.key(object))
	}
	for _, object := range mine {
		if _, done := inTheirs[kind.key(object)]; !done {
			appendMerged(kind.key(object))
		}
	}
	return out
}

// mergeObject returns the object to keep, and records a conflict if both edits
// changed it differently and no side is preferred.
func mergeObject[T any](merger *merger, kind objectKind[T], base, mine, theirs optionalObject[T]) optionalObject[T] {
	switch {
	case mine.equal(kind, base) || mine.equal(kind, theirs):
		return theirs
	case theirs.equal(kind, base) || merger.prefer == Mine:
		return mine
	case merger.prefer == Theirs:
		return theirs
	}
	existing := mine
	if existing.object == nil {
		existing = theirs
	}
	merger.conflicts = append(merger.conflicts, Conflict{kind.path(*existing.object), base.value(), mine.value(), theirs.value()})
	return theirs
}
