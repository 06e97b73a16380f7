// Package idem makes non-idempotent calls run at most once: keys that name the
// one process that may run them, and the ledger in which that process records
// what it ran.
package idem

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"siskingw/faults"
	"siskingw/member"
)

const (
	keyVersion   = "1"
	keyFields    = 5
	nonceBytes   = 16
	maxOwnerID   = 128 // bytes; bounds the memory of an entry
	maxKeyLength = 256 // bytes
)

// Key identifies one keyed call. Only the process Owner with the given
// Incarnation may run it, or the one to which that process hands it over.
type Key struct {
	Owner       string
	Incarnation uint64
	IssuedMs    int64 // ms since 1970 by the clock of the issuing node
	Nonce       [nonceBytes]byte
}

// Mint returns a new key for the given owner, issued at now.
func Mint(owner *member.Record, now time.Time) Key {
	k := Key{Owner: owner.ID, Incarnation: owner.Incarnation, IssuedMs: now.UnixMilli()}
	rand.Read(k.Nonce[:]) // never returns an error
	return k
}

// String returns the header value: version:incarnation:issued:nonce:owner.
func (k Key) String() string {
	b := make([]byte, 0, maxKeyLength)
	b = append(b, keyVersion...)
	b = append(b, ':')
	b = strconv.AppendUint(b, k.Incarnation, 10)
	b = append(b, ':')
	b = strconv.AppendInt(b, k.IssuedMs, 10)
	b = append(b, ':')
	b = hex.AppendEncode(b, k.Nonce[:])
	b = append(b, ':')
	b = append(b, k.Owner...)
	return string(b)
}

// Parse decodes a header value. It accepts exactly the values that String
// returns and reports every other one as Invalid.
func Parse(s string) (Key, error) {
	var k Key
	if len(s) > maxKeyLength {
		return k, faults.Invalid.New("key has %d bytes, at most %d are allowed", len(s), maxKeyLength)
	}
	f := strings.SplitN(s, ":", keyFields)
	if len(f) != keyFields || f[0] != keyVersion {
		return k, faults.Invalid.New("key %q was not issued by a node", s)
	}
	if err := k.parseNumbers(f[1], f[2], f[3]); err != nil {
		return Key{}, err
	}
	if !validOwner(f[4]) {
		return Key{}, faults.Invalid.New("key names no valid owner: %q", f[4])
	}
	k.Owner = f[4]
	if k.String() != s {
		return Key{}, faults.Invalid.New("key %q is not in canonical form", s)
	}
	return k, nil
}

// parseNumbers decodes the incarnation, issue time and nonce.
func (k *Key) parseNumbers(incarnation, issued, nonce string) error {
	var err error
	if k.Incarnation, err = strconv.ParseUint(incarnation, 10, 64); err != nil {
		return faults.Invalid.Wrap(err, "key has no valid incarnation")
	}
	if k.IssuedMs, err = strconv.ParseInt(issued, 10, 64); err != nil || k.IssuedMs < 0 {
		return faults.Invalid.New("key has no valid issue time: %q", issued)
	}
	if len(nonce) != 2*nonceBytes {
		return faults.Invalid.New("key has a nonce of %d characters, want %d", len(nonce), 2*nonceBytes)
	}
	if _, err = hex.Decode(k.Nonce[:], []byte(nonce)); err != nil {
		return faults.Invalid.Wrap(err, "key has no valid nonce")
	}
	return nil
}

// validOwner reports whether id may stand in a header value.
func validOwner(id string) bool {
	if id == "" || len(id) > maxOwnerID {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}
