package configsync

import "encoding/binary"

// recordReader decodes a binary record. After the first error, err is set and
// all methods return zero values.
type recordReader struct {
	record string // Kind of record, used in errors.
	data   []byte // Bytes not decoded yet.
	err    error
}

func (reader *recordReader) fail(reason string) {
	reader.setErr(&FormatError{Record: reader.record, Reason: reason})
}

// setErr keeps the first error and discards the remaining data, so that loops
// over the data end.
func (reader *recordReader) setErr(err error) {
	if reader.err == nil && err != nil {
		reader.err = err
		reader.data = nil
	}
}

// next returns the next n bytes.
func (reader *recordReader) next(n int) []byte {
	if reader.err != nil {
		return nil
	}
	if n > len(reader.data) {
		reader.fail("ends early")
		return nil
	}
	out := reader.data[:n:n]
	reader.data = reader.data[n:]
	return out
}

func (reader *recordReader) byte() byte {
	b := reader.next(1)
	if b == nil {
		return 0
	}
	return b[0]
}

func (reader *recordReader) hash() Hash {
	var h Hash
	copy(h[:], reader.next(HashBytes))
	return h
}

// uvarint reads an unsigned varint. Only the shortest encoding of a number is
// accepted, so that each record has exactly one encoding.
func (reader *recordReader) uvarint() uint64 {
	if reader.err != nil {
		return 0
	}
	value, size := binary.Uvarint(reader.data)
	if size <= 0 || size > 1 && reader.data[size-1] == 0 {
		reader.fail("number is not valid")
		return 0
	}
	reader.data = reader.data[size:]
	return value
}

// bytes reads a length-prefixed byte string of at most limit bytes.
func (reader *recordReader) bytes(limit int) []byte {
	size := reader.uvarint()
	if size > uint64(len(reader.data)) || size > uint64(limit) {
		reader.fail("length is not valid")
		return nil
	}
	return reader.next(int(size))
}

// appendBytes appends data with a length prefix.
func appendBytes(out, data []byte) []byte {
	out = binary.AppendUvarint(out, uint64(len(data)))
	return append(out, data...)
}
