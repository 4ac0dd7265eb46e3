package finding

import "strconv"

// Locate returns the line and column of the value at a JSON pointer. If the source
// does not contain the value, the result is the position of the nearest enclosing
// value, or 0, 0 when the source contains no value at all. If a field appears more
// than once, its last occurrence is used, as in Decode.
func Locate(src []byte, pointer string) (line, column int) {
	p := locatePositions(src, []string{pointer})[pointer]
	return p.Line, p.Column
}

// locatePositions determines the positions of all pointers in one pass.
func locatePositions(src []byte, pointers []string) map[string]Position {
	positions := make(map[string]Position, len(pointers))
	if len(pointers) == 0 {
		return positions
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
			positions[pointer] = lines.position(offset)
		}
	}
	return positions
}

// pointerNode is a node of a tree that contains the pointers to locate.
type pointerNode struct {
	parent   *pointerNode
	children map[string]*pointerNode
	offset   int // Offset of the value in the source; -1 until found.
}

func newPointerNode() *pointerNode {
	return &pointerNode{offset: -1}
}

// insert adds the nodes for a pointer and returns the last one.
func (node *pointerNode) insert(parts []string) *pointerNode {
	for _, part := range parts {
		child := node.children[part]
		if child == nil {
			child = newPointerNode()
			child.parent = node
			if node.children == nil {
				node.children = map[string]*pointerNode{}
			}
			node.children[part] = child
		}
		node = child
	}
	return node
}

// nearestOffset returns the offset of the value or of the nearest enclosing value
// that was found, or -1.
func (node *pointerNode) nearestOffset() int {
	for node.offset < 0 && node.parent != nil {
		node = node.parent
	}
	return node.offset
}

type locator struct{ tokens *tokenizer }

// locateValue reads the next value and sets the offsets of the nodes below node. It
// returns false when the source ends within the value.
func (l locator) locateValue(node *pointerNode) bool {
	tok, ok := l.tokens.next()
	if !ok {
		return false
	}
	node.offset = tok.start
	switch {
	case len(node.children) == 0:
		return l.tokens.skipRemaining(tok)
	case tok.kind == '{':
		return l.locateObject(node)
	case tok.kind == '[':
		return l.locateArray(node)
	}
	return true
}

func (l locator) locateObject(node *pointerNode) bool {
	for l.tokens.hasMore() {
		key, ok := l.tokens.next()
		if !ok || !l.locateMember(node.children[l.tokens.text(key)]) {
			return false
		}
	}
	_, ok := l.tokens.next()
	return ok
}

func (l locator) locateArray(node *pointerNode) bool {
	for i := 0; l.tokens.hasMore(); i++ {
		if !l.locateMember(node.children[strconv.Itoa(i)]) {
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
