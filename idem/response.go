package idem

import (
	"encoding/binary"
	"net/http"
	"strings"
)

// Response is a target's complete HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// encode serializes the response into one string: a header map with a few fields
// takes more memory than a short body. The format is the status, the number of
// header values, the name and value of each, and the body. Numbers are uvarints;
// names and values are prefixed with their length in bytes.
func (r *Response) encode() string {
	size, valueCount := len(r.Body)+2*binary.MaxVarintLen16, 0
	for name, vs := range r.Header {
		for _, v := range vs {
			valueCount++
			size += len(name) + len(v) + 2*binary.MaxVarintLen16
		}
	}
	var b strings.Builder
	b.Grow(size)
	writeUvarint(&b, uint64(r.Status))
	writeUvarint(&b, uint64(valueCount))
	for name, vs := range r.Header {
		for _, v := range vs {
			writeString(&b, name)
			writeString(&b, v)
		}
	}
	b.Write(r.Body)
	return b.String()
}

// decodeResponse decodes the output of encode. It panics on anything else.
func decodeResponse(s string) *Response {
	r := &Response{Header: make(http.Header)}
	status, s := cutUvarint(s)
	r.Status = int(status)
	valueCount, s := cutUvarint(s)
	for range valueCount {
		var name, value string
		name, s = cutString(s)
		value, s = cutString(s)
		r.Header[name] = append(r.Header[name], value)
	}
	r.Body = []byte(s)
	return r
}

func writeUvarint(b *strings.Builder, v uint64) {
	var buf [binary.MaxVarintLen64]byte
	b.Write(buf[:binary.PutUvarint(buf[:], v)])
}

func writeString(b *strings.Builder, s string) {
	writeUvarint(b, uint64(len(s)))
	b.WriteString(s)
}

func cutUvarint(s string) (uint64, string) {
	head := []byte(s[:min(len(s), binary.MaxVarintLen64)])
	v, n := binary.Uvarint(head)
	return v, s[n:]
}

func cutString(s string) (string, string) {
	size, s := cutUvarint(s)
	return s[:size], s[size:]
}
