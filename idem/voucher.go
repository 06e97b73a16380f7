package idem

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
)

// signVoucher returns the proof that the owner of k handed the key over to the given
// process and will never run it: an HMAC-SHA256 over the key and the new owner.
// All nodes share the secret; without one, the voucher protects against mistakes
// but not against forgery.
func signVoucher(secret []byte, k Key, owner string, incarnation uint64) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(k.String()))
	h.Write([]byte{0})
	h.Write(strconv.AppendUint(nil, incarnation, 10))
	h.Write([]byte{0})
	h.Write([]byte(owner))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

// verifyVoucher reports whether voucher is the one that hands k over to the given
// process.
func verifyVoucher(secret []byte, voucher string, k Key, owner string, incarnation uint64) bool {
	return voucher != "" && hmac.Equal([]byte(voucher), []byte(signVoucher(secret, k, owner, incarnation)))
}
