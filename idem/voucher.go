package idem

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
)

// voucher returns the statement that the process holding k hands it over to the
// given owner and will never run it. The secret is shared by the fleet; without
// one, the voucher only protects against mistakes, not against forgery.
func voucher(secret []byte, k Key, owner string, incarnation uint64) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(k.String()))
	h.Write([]byte{0})
	h.Write(strconv.AppendUint(nil, incarnation, 10))
	h.Write([]byte{0})
	h.Write([]byte(owner))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

// validVoucher reports whether v hands k over to the given owner.
func validVoucher(secret []byte, v string, k Key, owner string, incarnation uint64) bool {
	return v != "" && hmac.Equal([]byte(v), []byte(voucher(secret, k, owner, incarnation)))
}
