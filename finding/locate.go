package finding

import "strconv"

// Locate returns the line and column of the value at a JSON pointer. When the
// source has no such value, they are those of the nearest enclosing value
// that it has, and 0, 0 when the source has no value at all. Of a field that
// appears more than once the last counts, as in Decode.
func Locate(src []byte, pointer string) (line, column int) {
	p := locateAll(src, []string{pointer})[pointer]
	return p.Line, p.Column
}

// locateAll finds the places of all pointers in one pass.
func locateAll(src []byte, pointers []string) map[string]Position {
	places := make(map[string]Position, len(pointers))
	if len(pointers) == 0 {
		return places
	}
	root := newWanted()
	leaves := make(map[string]*wanted, len(pointers))
	for _, pointer := range pointers {
		leaves[pointer] = root.add(splitPointer(pointer))
	}
	valid := src
	if p := findSyntaxProblem(src); p != nil {
		valid = src[:p.offset]
	}
	locator{&tokens{src: valid}}.value(root)
	lines := newLineIndex(src)
	for pointer, leaf := range leaves {
		if offset := leaf.nearestOffset(); offset >= 0 {
			places[pointer] = lines.position(offset)
		}
	}
	return places
}

// wanted is a node of the tree of pointers to locate.
type wanted struct {
	parent   *wanted
	children map[string]*wanted
	offset   int // Of the value in the source; -1 until found.
}

func newWanted() *wanted {
	return &wanted{offset: -1}
}

func (w *wanted) add(parts []string) *wanted {
	for _, part := range parts {
		child := w.children[part]
		if child == nil {
			child = newWanted()
			child.parent = w
			if w.children == nil {
				w.children = map[string]*wanted{}
			}
			w.children[part] = child
		}
		w = child
	}
	return w
}

func (w *wanted) nearestOffset() int {
	for w.offset < 0 && w.parent != nil {
		w = w.parent
	}
	return w.offset
}

type locator struct{ tokens *tokens }

// value reads the next value and notes the offsets of wanted values in it. It
// returns false when the source ends in the value.
func (l locator) value(w *wanted) bool {
	tok, ok := l.tokens.next()
	if !ok {
		return false
	}
	w.offset = tok.start
	switch {
	case len(w.children) == 0:
		return l.tokens.skipRest(tok)
	case tok.kind == '{':
		return l.object(w)
	case tok.kind == '[':
		return l.array(w)
	}
	return true
}

func (l locator) object(w *wanted) bool {
	for l.tokens.more() {
		key, ok := l.tokens.next()
		if !ok || !l.member(w.children[l.tokens.text(key)]) {
			return false
		}
	}
	_, ok := l.tokens.next()
	return ok
}

func (l locator) array(w *wanted) bool {
	for i := 0; l.tokens.more(); i++ {
		if !l.member(w.children[strconv.Itoa(i)]) {
			return false
		}
	}
	_, ok := l.tokens.next()
	return ok
}

func (l locator) member(child *wanted) bool {
	if child == nil {
		return l.tokens.skip()
	}
	return l.value(child)
}
