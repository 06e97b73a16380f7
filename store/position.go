package store

import (
	"cmp"
	"strconv"
)

// Position is a point in the history of a store: a revision and the era that gave it
// out. A store that comes back from an older copy begins a new era and gives out
// revisions again, so that a revision alone does not tell two writes apart. Only this
// package and the clients of stores look into a position; others compare, keep and encode
// it. The zero Position is none: it stands for a key that does not exist.
type Position struct {
	era      int64 // 0 if the store states none
	revision int64
}

// At returns the position of a revision in an era; era is 0 if the store states none.
func At(era, revision int64) Position { return Position{era: era, revision: revision} }

// Era returns the era for encoding, 0 if it is not known.
func (p Position) Era() int64 { return p.era }

// Revision returns the revision for encoding.
func (p Position) Revision() int64 { return p.revision }

// IsZero reports whether p is no position.
func (p Position) IsZero() bool { return p == Position{} }

// Compare orders positions by era and then by revision. A position of an unknown era is
// compared by its revision alone: it comes from a store, or a build, without eras.
func (p Position) Compare(o Position) int {
	if p.era != 0 && o.era != 0 && p.era != o.era {
		return cmp.Compare(p.era, o.era)
	}
	return cmp.Compare(p.revision, o.revision)
}

// After reports whether p is later than o.
func (p Position) After(o Position) bool { return p.Compare(o) > 0 }

// Same reports whether p and o may be the same write.
func (p Position) Same(o Position) bool { return p.Compare(o) == 0 }

// InLaterEra reports whether p belongs to a later era than o, whatever their revisions
// are. It is false if one of the eras is not known.
func (p Position) InLaterEra(o Position) bool { return o.era != 0 && p.era > o.era }

// String returns the era and the revision, such as "2/105", or the revision alone if the
// era is not known.
func (p Position) String() string {
	if p.era == 0 {
		return strconv.FormatInt(p.revision, 10)
	}
	return strconv.FormatInt(p.era, 10) + "/" + strconv.FormatInt(p.revision, 10)
}

// MarshalText implements encoding.TextMarshaler, for logs.
func (p Position) MarshalText() ([]byte, error) { return []byte(p.String()), nil }
