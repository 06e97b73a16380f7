package idem

import (
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"siskingw/errdefs"
	"siskingw/member"
)

// Guards against two header values that parse to the same key, which would bypass
// deduplication, and against panics on malicious values.
func FuzzParse(f *testing.F) {
	f.Add(Mint(ownerA, time.UnixMilli(1_800_000_000_000)).String())
	f.Add("1:01:5:00000000000000000000000000000000:a")
	f.Add("1:1:-5:00000000000000000000000000000000:a")
	f.Add("1:1:5:0000000000000000000000000000000A:a:b")
	f.Add("::::")
	f.Fuzz(func(t *testing.T, s string) {
		k, err := Parse(s)
		if err != nil {
			if !errorx.IsOfType(err, errdefs.Invalid) || k != (Key{}) {
				t.Fatalf("error %v with key %+v", err, k)
			}
			return
		}
		if k.String() != s {
			t.Fatalf("%q was accepted as %q", s, k)
		}
	})
}

// Guards against a key that changes when one node formats and another parses it.
func TestParseReadsMintedKeys(t *testing.T) {
	is := is.New(t)
	for _, id := range []string{"a", "sask-1:n:7", strings.Repeat("x", maxOwnerIDBytes)} {
		k := Mint(&member.Record{ID: id, Incarnation: 1<<64 - 1}, time.Now())
		got, err := Parse(k.String())
		is.NoErr(err)
		is.Equal(got, k)
	}
	for _, bad := range []string{"", "my-own-key", strings.Repeat("1", maxKeyBytes+1)} {
		_, err := Parse(bad)
		is.True(errorx.IsOfType(err, errdefs.Invalid))
	}
}

// Guards against a voucher that is valid for another key, owner, incarnation or
// secret.
func TestVoucherIsBoundToKeyAndOwner(t *testing.T) {
	is := is.New(t)
	secret := []byte("fleet")
	k, other := Mint(ownerA, time.Now()), Mint(ownerA, time.Now())
	v := signVoucher(secret, k, "b", 2)
	is.True(verifyVoucher(secret, v, k, "b", 2))
	is.True(!verifyVoucher(secret, v, other, "b", 2))
	is.True(!verifyVoucher(secret, v, k, "b", 3))
	is.True(!verifyVoucher(secret, v, k, "c", 2))
	is.True(!verifyVoucher([]byte("other"), v, k, "b", 2))
	is.True(!verifyVoucher(nil, "", k, "b", 2))
}
