// Package idem makes calls with an idempotency key run at most once. A key names
// the only process that may run its call, and that process keeps a ledger of the
// keys that it ran and of their responses.
package idem

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"siskingw/errdefs"
	"siskingw/member"
)

const (
	keyVersion      = "1"
	keyFieldCount   = 5
	nonceBytes      = 16
	maxOwnerIDBytes = 128 // bytes; limits the memory of an entry
	maxKeyBytes     = 256 // bytes
)

// Key is the idempotency key of one call. Only the owner's process with this
// incarnation may run the call, or the process to which it hands the key over.
type Key struct {
	Owner       string // node ID of the owner
	Incarnation uint64 // of the owner's process
	IssuedMs    int64  // ms since 1970, by the clock of the node that issued the key
	Nonce       [nonceBytes]byte
}

// Mint returns a new key with a random nonce for the given owner, issued at now.
func Mint(owner *member.Record, now time.Time) Key {
	k := Key{Owner: owner.ID, Incarnation: owner.Incarnation, IssuedMs: now.UnixMilli()}
	rand.Read(k.Nonce[:]) // never returns an error
	return k
}

// String returns the header value version:incarnation:issued:nonce:owner, with the
// issue time in ms and the nonce in hex.
func (k Key) String() string {
	b := make([]byte, 0, maxKeyBytes)
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

// Parse parses a header value. It accepts exactly the values that String returns,
// and returns an Invalid error for any other.
func Parse(s string) (Key, error) {
	var k Key
	if len(s) > maxKeyBytes {
		return k, errdefs.Invalid.New("key has %d bytes, at most %d are allowed", len(s), maxKeyBytes)
	}
	fields := strings.SplitN(s, ":", keyFieldCount)
	if len(fields) != keyFieldCount || fields[0] != keyVersion {
		return k, errdefs.Invalid.New("key %q was not issued by a node", s)
	}
	if err := k.parseNumbers(fields[1], fields[2], fields[3]); err != nil {
		return Key{}, err
	}
	if !validOwner(fields[4]) {
		return Key{}, errdefs.Invalid.New("key names no valid owner: %q", fields[4])
	}
	k.Owner = fields[4]
	if k.String() != s {
		return Key{}, errdefs.Invalid.New("key %q is not in canonical form", s)
	}
	return k, nil
}

// parseNumbers parses the incarnation, issue time and nonce into k.
func (k *Key) parseNumbers(incarnation, issued, nonce string) error {
	var err error
	if k.Incarnation, err = strconv.ParseUint(incarnation, 10, 64); err != nil {
		return errdefs.Invalid.Wrap(err, "key has no valid incarnation")
	}
	if k.IssuedMs, err = strconv.ParseInt(issued, 10, 64); err != nil || k.IssuedMs < 0 {
		return errdefs.Invalid.New("key has no valid issue time: %q", issued)
	}
	if len(nonce) != 2*nonceBytes {
		return errdefs.Invalid.New("key has a nonce of %d characters, want %d", len(nonce), 2*nonceBytes)
	}
	if _, err = hex.Decode(k.Nonce[:], []byte(nonce)); err != nil {
		return errdefs.Invalid.Wrap(err, "key has no valid nonce")
	}
	return nil
}

// validOwner reports whether id is a node ID of 1 to maxOwnerIDBytes printable
// ASCII characters without spaces.
func validOwner(id string) bool {
	if id == "" || len(id) > maxOwnerIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}
