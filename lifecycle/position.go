package lifecycle

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/jacinthstall/jacinthstall/finding"
)

// positionAt converts a byte offset to a position.
func positionAt(file string, src []byte, offset int64) finding.Position {
	before := src[:min(max(offset, 0), int64(len(src)))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return finding.Position{File: file, Line: line, Column: column}
}

// pointerOffset returns the offset of the value that a JSON pointer names, or of the
// deepest value on its way that exists.
func pointerOffset(src []byte, pointer string) int64 {
	dec := json.NewDecoder(bytes.NewReader(src))
	offset := int64(0)
	for _, part := range strings.Split(strings.TrimPrefix(pointer, "/"), "/") {
		if !moveToMember(dec, part) {
			return offset
		}
		offset = skipToValue(src, dec.InputOffset())
	}
	return offset
}

// moveToMember opens the next value and moves to one of its members.
func moveToMember(dec *json.Decoder, part string) bool {
	open, err := dec.Token()
	if err != nil {
		return false
	}
	for i := 0; dec.More(); i++ {
		name := strconv.Itoa(i)
		if open == json.Delim('{') {
			key, err := dec.Token()
			if err != nil {
				return false
			}
			name, _ = key.(string)
		}
		if name == part {
			return true
		}
		var skipped json.RawMessage
		if dec.Decode(&skipped) != nil {
			return false
		}
	}
	return false
}

func skipToValue(src []byte, offset int64) int64 {
	for offset < int64(len(src)) && strings.IndexByte(" \t\r\n:,", src[offset]) >= 0 {
		offset++
	}
	return offset
}
