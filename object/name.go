package object

import (
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// MaxNameBytes is the maximum length in bytes of the name of an object, of an
// announced service and of a host.
const MaxNameBytes = 64 << 10

// isName reports whether s may be the name of an object or of an announced service:
// any UTF-8 text of 1 to MaxNameBytes bytes. Formats that cannot carry every name
// escape it.
func isName(s string) bool {
	return s != "" && len(s) <= MaxNameBytes && utf8.ValidString(s)
}

// QuoteUnprintable returns s unchanged if all its characters are printable, and as a
// quoted Go string otherwise, so that a name cannot inject lines or terminal control
// sequences into text that people read.
func QuoteUnprintable(s string) string {
	if strings.IndexFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) >= 0 {
		return strconv.Quote(s)
	}
	return s
}

// NormalizeHost returns a host, as it is sent, in the form in which hosts are
// compared: in lower case and without the port.
func NormalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	if strings.IndexFunc(host, isUpper) < 0 {
		return host
	}
	b := []byte(host)
	for i, c := range b {
		if isUpper(rune(c)) {
			b[i] = c + 'a' - 'A'
		}
	}
	return string(b)
}

func isUpper(c rune) bool { return c >= 'A' && c <= 'Z' }

// isHost reports whether s is a normalized host without white space and control
// characters. Names beyond those of the DNS are allowed, such as one with an
// underscore.
func isHost(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c == 0x7f || c == '/' || c == '?' || c == '#' || c == '@' {
			return false
		}
	}
	return isName(s) && NormalizeHost(s) == s
}
