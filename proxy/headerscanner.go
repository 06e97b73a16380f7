package proxy

import (
	"golang.org/x/net/http/httpguts"

	"siskingw/errdefs"
)

// headerScanner checks the lines of a response header while it is read.
// http.ReadResponse accepts folded lines, lines that end without CR, and spaces in field
// names, which it then ignores where the field frames the body. Other recipients read
// such a header differently (RFC 9112, sections 2.2, 5.1 and 5.2). The zero value expects
// a status line.
type headerScanner struct {
	state            headerState
	err              error // OutcomeUnknown error for the first malformed line
	matched          int   // bytes of the current field name that match encodingField; -1 for none
	transferEncoding bool  // there was a field Transfer-Encoding
}

const encodingField = "transfer-encoding"

type headerState uint8

const (
	inStatusLine headerState = iota
	atLineStart
	inFieldName
	inFieldValue
	afterCR     // at the end of a line
	afterLastCR // at the end of the empty line that ends the header
	headerEnded
)

// scan checks the next bytes. It ignores what follows the header or a malformed line.
func (s *headerScanner) scan(p []byte) {
	for _, b := range p {
		if s.state == headerEnded || s.err != nil {
			return
		}
		s.next(b)
	}
}

func (s *headerScanner) next(b byte) {
	switch s.state {
	case inStatusLine, inFieldValue:
		switch b {
		case '\r':
			s.state = afterCR
		case '\n':
			s.err = errdefs.OutcomeUnknown.New("a line of the header ends without CR")
		}
	case atLineStart, inFieldName:
		switch {
		case b == '\r' && s.state == atLineStart:
			s.state = afterLastCR
		case b == ':' && s.state == inFieldName:
			s.state = inFieldValue
			s.transferEncoding = s.transferEncoding || s.matched == len(encodingField)
		case httpguts.IsTokenRune(rune(b)):
			s.matchName(b)
			s.state = inFieldName
		default:
			s.err = errdefs.OutcomeUnknown.New("a field name of the header contains %q", b)
		}
	case afterCR, afterLastCR:
		switch {
		case b != '\n':
			s.err = errdefs.OutcomeUnknown.New("a line of the header contains CR")
		case s.state == afterCR:
			s.state = atLineStart
		default:
			s.state = headerEnded
		}
	}
}

// matchName compares the next byte of a field name with encodingField.
func (s *headerScanner) matchName(b byte) {
	if s.state == atLineStart {
		s.matched = 0
	}
	const lowerCase = 'a' - 'A' // bit that is set in a lower-case letter
	if s.matched >= 0 && s.matched < len(encodingField) && b|lowerCase == encodingField[s.matched] {
		s.matched++
		return
	}
	s.matched = -1
}
