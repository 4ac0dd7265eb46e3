package finding

import "strconv"

// Locate returns the line and column of the value at a JSON pointer. When the
// source has no such value, they are those of the nearest enclosing value
// that it has, and 0, 0 when the source has no value at all. Of a field that
// appears more than once the last counts, as in Decode.
func Locate(src []byte, pointer string) (line, column int) {
	p := locatePositions(src, []string{pointer})[pointer]
	return p.Line, p.Column
}

// locatePositions finds the places of all pointers in one pass.
func locatePositions(src []byte, pointers []string) map[string]Position {
	places := make(map[string]Position, len(pointers))
	if len(pointers) == 0 {
		return places
	}
	root := newPointerNode()
	leaves := make(map[string]*pointerNode, len(pointers))
	for _, pointer := range pointers {
		leaves[pointer] = root.insert(splitPointer(pointer))
	}
	valid := src
	if p := findSyntaxError(src); p != nil {
		valid = src[:p.offset]
	}
	locator{&tokenizer{src: valid}}.locateValue(root)
	lines := newLineIndex(src)
	for pointer, leaf := range leaves {
		if offset := leaf.nearestOffset(); offset >= 0 {
			places[pointer] = lines.position(offset)
		}
	}
	return places
}

// pointerNode is a node of the tree of pointers to locate.
type pointerNode struct {
	parent   *pointerNode
	children map[string]*pointerNode
	offset   int // Of the value in the source; -1 until found.
}

func newPointerNode() *pointerNode {
	return &pointerNode{offset: -1}
}

func (w *pointerNode) insert(parts []string) *pointerNode {
	for _, part := range parts {
		child := w.children[part]
		if child == nil {
			child = newPointerNode()
			child.parent = w
			if w.children == nil {
				w.children = map[string]*pointerNode{}
			}
			w.children[part] = child
		}
		w = child
	}
	return w
}

func (w *pointerNode) nearestOffset() int {
	for w.offset < 0 && w.parent != nil {
		w = w.parent
	}
	return w.offset
}

type locator struct{ tokens *tokenizer }

// locateValue reads the next value and notes the offsets of wanted values in it. It
// returns false when the source ends in the value.
func (l locator) locateValue(w *pointerNode) bool {
	tok, ok := l.tokens.next()
	if !ok {
		return false
	}
	w.offset = tok.start
	switch {
	case len(w.children) == 0:
		return l.tokens.skipRemaining(tok)
	case tok.kind == '{':
		return l.locateObject(w)
	case tok.kind == '[':
		return l.locateArray(w)
	}
	return true
}

func (l locator) locateObject(w *pointerNode) bool {
	for l.tokens.hasMore() {
		key, ok := l.tokens.next()
		if !ok || !l.locateMember(w.children[l.tokens.text(key)]) {
			return false
		}
	}
	_, ok := l.tokens.next()
	return ok
}

func (l locator) locateArray(w *pointerNode) bool {
	for i := 0; l.tokens.hasMore(); i++ {
		if !l.locateMember(w.children[strconv.Itoa(i)]) {
			return false
		}
	}
	_, ok := l.tokens.next()
	return ok
}

func (l locator) locateMember(child *pointerNode) bool {
	if child == nil {
		return l.tokens.skipValue()
	}
	return l.locateValue(child)
}
