package idem

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
)

// voucher returns the proof that the owner of k handed the key over to the given
// process and will never run it: an HMAC-SHA256 over the key and the new owner.
// All nodes share the secret; without one, the voucher protects against mistakes
// but not against forgery.
func voucher(secret []byte, k Key, owner string, incarnation uint64) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(k.String()))
	h.Write([]byte{0})
	h.Write(strconv.AppendUint(nil, incarnation, 10))
	h.Write([]byte{0})
	h.Write([]byte(owner))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

// validVoucher reports whether v is the voucher that hands k over to the given
// process.
func validVoucher(secret []byte, v string, k Key, owner string, incarnation uint64) bool {
	return v != "" && hmac.Equal([]byte(v), []byte(voucher(secret, k, owner, incarnation)))
}
