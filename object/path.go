package object

import "strings"

const upperHex = "0123456789ABCDEF"

// NormalizePath returns a path, as it is sent, in the form in which prefixes and
// paths are compared (RFC 3986, section 6.2.2): escapes of unreserved characters
// are decoded, the hex digits of the others are in upper case, and bytes that must
// be escaped are escaped. "%2F" stays an escape: it is data of a segment and no
// separator. Dot segments and repeated slashes are kept, because targets get the
// path as it was sent. ok is false for an invalid escape.
func NormalizePath(path string) (normalized string, ok bool) {
	if !strings.ContainsFunc(path, func(c rune) bool { return c == '%' || !isPathChar(c) }) {
		return path, true
	}
	var b strings.Builder
	b.Grow(len(path) + 8)
	for i := 0; i < len(path); i++ {
		c := path[i]
		if c != '%' {
			writePathByte(&b, c, isPathChar(rune(c)))
			continue
		}
		if i+2 >= len(path) || !isHexDigit(path[i+1]) || !isHexDigit(path[i+2]) {
			return "", false
		}
		c = hexValue(path[i+1])<<4 | hexValue(path[i+2])
		writePathByte(&b, c, isUnreserved(c))
		i += 2
	}
	return b.String(), true
}

// writePathByte writes c as it is, or its escape.
func writePathByte(b *strings.Builder, c byte, literal bool) {
	if literal {
		b.WriteByte(c)
		return
	}
	b.WriteByte('%')
	b.WriteByte(upperHex[c>>4])
	b.WriteByte(upperHex[c&15])
}

// isUnreserved reports whether c is an unreserved character of RFC 3986, whose
// escape means the same as the character.
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// isPathChar reports whether a path may hold c without an escape.
func isPathChar(c rune) bool {
	return c < 0x80 && (isUnreserved(byte(c)) || strings.ContainsRune("!$&'()*+,;=:@/", c))
}

func isHexDigit(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

func hexValue(c byte) byte {
	switch {
	case c >= 'a':
		return c - 'a' + 10
	case c >= 'A':
		return c - 'A' + 10
	}
	return c - '0'
}
