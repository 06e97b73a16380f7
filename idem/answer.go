package idem

import (
	"encoding/binary"
	"net/http"
)

// Answer is a target's complete response.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// encode returns the answer in one block of memory, because a header map of a
// few fields takes more memory than a short body. Format: status, number of
// header values, then name and value of each, then the body.
func (a *Answer) encode() []byte {
	size, values := len(a.Body)+2*binary.MaxVarintLen64, 0
	for name, vs := range a.Header {
		for _, v := range vs {
			values++
			size += len(name) + len(v) + 2*binary.MaxVarintLen16
		}
	}
	b := make([]byte, 0, size)
	b = binary.AppendUvarint(b, uint64(a.Status))
	b = binary.AppendUvarint(b, uint64(values))
	for name, vs := range a.Header {
		for _, v := range vs {
			b = appendString(b, name)
			b = appendString(b, v)
		}
	}
	return append(b, a.Body...)
}

// decodeAnswer returns the answer that encode wrote to b.
func decodeAnswer(b []byte) *Answer {
	a := &Answer{Header: make(http.Header)}
	status, n := binary.Uvarint(b)
	a.Status, b = int(status), b[n:]
	values, n := binary.Uvarint(b)
	b = b[n:]
	for range values {
		var name, value string
		name, b = cutString(b)
		value, b = cutString(b)
		a.Header[name] = append(a.Header[name], value)
	}
	a.Body = b
	return a
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func cutString(b []byte) (string, []byte) {
	size, n := binary.Uvarint(b)
	end := n + int(size)
	return string(b[n:end]), b[end:]
}
