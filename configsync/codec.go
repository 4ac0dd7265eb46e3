package configsync

import "encoding/binary"

// recordReader decodes a record. After the first failure it returns zero values and
// err is set.
type recordReader struct {
	record string
	data   []byte
	err    error
}

func (r *recordReader) fail(reason string) {
	r.setErr(&FormatError{Record: r.record, Reason: reason})
}

func (r *recordReader) setErr(err error) {
	if r.err == nil && err != nil {
		r.err = err
		r.data = nil
	}
}

func (r *recordReader) next(n int) []byte {
	if r.err != nil {
		return nil
	}
	if n > len(r.data) {
		r.fail("ends early")
		return nil
	}
	out := r.data[:n:n]
	r.data = r.data[n:]
	return out
}

func (r *recordReader) byte() byte {
	b := r.next(1)
	if b == nil {
		return 0
	}
	return b[0]
}

func (r *recordReader) hash() Hash {
	var h Hash
	copy(h[:], r.next(HashBytes))
	return h
}

// uvarint reads a number in its shortest encoding.
func (r *recordReader) uvarint() uint64 {
	if r.err != nil {
		return 0
	}
	v, n := binary.Uvarint(r.data)
	if n <= 0 || n > 1 && r.data[n-1] == 0 {
		r.fail("number is not valid")
		return 0
	}
	r.data = r.data[n:]
	return v
}

// bytes reads a length and as many bytes, at most limit.
func (r *recordReader) bytes(limit int) []byte {
	n := r.uvarint()
	if n > uint64(len(r.data)) || n > uint64(limit) {
		r.fail("length is not valid")
		return nil
	}
	return r.next(int(n))
}

func appendBytes(out, data []byte) []byte {
	out = binary.AppendUvarint(out, uint64(len(data)))
	return append(out, data...)
}
