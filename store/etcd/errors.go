package etcd

import (
	"github.com/joomcode/errorx"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskingw/errdefs"
)

// readError types the error of a call that changes nothing. It returns nil for nil.
func readError(err error, format string, args ...any) error {
	return wrap(err, errdefs.StoreUnavailable, format, args...)
}

// writeError types the error of a write. A write that broke off may have taken
// effect: gRPC reports a refused connection and a lost answer with the same code.
// It returns nil for nil.
func writeError(err error, format string, args ...any) error {
	return wrap(err, errdefs.StoreUnknown, format, args...)
}

// wrap types err; broken is the type for calls without an answer.
func wrap(err error, broken *errorx.Type, format string, args ...any) error {
	if err == nil {
		return nil
	}
	kind := broken
	switch status.Code(err) {
	case codes.ResourceExhausted:
		kind = errdefs.StoreLimited
	case codes.FailedPrecondition, codes.Unimplemented, codes.PermissionDenied:
		kind = errdefs.StoreUnavailable // the store answered that it did not run the call
	case codes.NotFound:
		kind = errdefs.NotFound
	case codes.OutOfRange:
		kind = errdefs.StoreCompacted
	case codes.InvalidArgument:
		kind = errdefs.Invalid
	}
	return kind.Wrap(err, format, args...)
}
