package lifecycle

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/jacinthstall/jacinthstall/finding"
)

// positionAt converts a byte offset in a file to a position.
func positionAt(file string, src []byte, offset int64) finding.Position {
	before := src[:min(max(offset, 0), int64(len(src)))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return finding.Position{File: file, Line: line, Column: column}
}

// pointerOffset returns the offset of the value at a JSON pointer. If there is no
// such value, it returns the offset of the innermost existing value on the path.
func pointerOffset(src []byte, pointer string) int64 {
	decoder := json.NewDecoder(bytes.NewReader(src))
	offset := int64(0)
	for _, token := range strings.Split(strings.TrimPrefix(pointer, "/"), "/") {
		if !moveToMember(decoder, token) {
			return offset
		}
		offset = skipToValue(src, decoder.InputOffset())
	}
	return offset
}

// moveToMember enters the next object or array and moves to a member, which is
// named by its key or index. It returns false if there is no such member.
func moveToMember(decoder *json.Decoder, member string) bool {
	delimiter, err := decoder.Token()
	if err != nil {
		return false
	}
	for i := 0; decoder.More(); i++ {
		name := strconv.Itoa(i)
		if delimiter == json.Delim('{') {
			key, err := decoder.Token()
			if err != nil {
				return false
			}
			name, _ = key.(string)
		}
		if name == member {
			return true
		}
		var skippedValue json.RawMessage
		if decoder.Decode(&skippedValue) != nil {
			return false
		}
	}
	return false
}

// skipToValue returns the offset of the first byte of the value that follows white
// space, a colon or a comma at offset.
func skipToValue(src []byte, offset int64) int64 {
	for offset < int64(len(src)) && strings.IndexByte(" \t\r\n:,", src[offset]) >= 0 {
		offset++
	}
	return offset
}
