package configsync

import "encoding/binary"

// recordReader decodes a record. After the first failure it returns zero values and
// err is set.
type recordReader struct {
	record string
	data   []byte
	err    error
}

func (reader *recordReader) fail(reason string) {
	reader.setErr(&FormatError{Record: reader.record, Reason: reason})
}

func (reader *recordReader) setErr(err error) {
	if reader.err == nil && err != nil {
		reader.err = err
		reader.data = nil
	}
}

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

// uvarint reads a number in its shortest encoding.
func (reader *recordReader) uvarint() uint64 {
	if reader.err != nil {
		return 0
	}
	v, n := binary.Uvarint(reader.data)
	if n <= 0 || n > 1 && reader.data[n-1] == 0 {
		reader.fail("number is not valid")
		return 0
	}
	reader.data = reader.data[n:]
	return v
}

// bytes reads a length and as many bytes, at most limit.
func (reader *recordReader) bytes(limit int) []byte {
	n := reader.uvarint()
	if n > uint64(len(reader.data)) || n > uint64(limit) {
		reader.fail("length is not valid")
		return nil
	}
	return reader.next(int(n))
}

func appendBytes(out, data []byte) []byte {
	out = binary.AppendUvarint(out, uint64(len(data)))
	return append(out, data...)
}
