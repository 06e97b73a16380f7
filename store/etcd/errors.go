package etcd

import (
	"github.com/joomcode/errorx"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskingw/errdefs"
)

// readError wraps the gRPC error of a call that is not a write. Without a response
// the error is StoreUnavailable. It returns nil for nil.
func readError(err error, format string, args ...any) error {
	return wrap(err, errdefs.StoreUnavailable, format, args...)
}

// writeError wraps the gRPC error of a write. Without a response the error is
// StoreUnknown, because the write may have taken effect: gRPC reports a refused
// connection and a lost response with the same code. It returns nil for nil.
func writeError(err error, format string, args ...any) error {
	return wrap(err, errdefs.StoreUnknown, format, args...)
}

// wrap wraps err in the type for its status code; broken is the type for every
// code that does not show whether the call ran.
func wrap(err error, broken *errorx.Type, format string, args ...any) error {
	if err == nil {
		return nil
	}
	kind := broken
	switch status.Code(err) {
	case codes.ResourceExhausted:
		kind = errdefs.StoreLimited
	case codes.FailedPrecondition, codes.Unimplemented, codes.PermissionDenied:
		kind = errdefs.StoreUnavailable // the store responded that it did not run the call
	case codes.NotFound:
		kind = errdefs.NotFound
	case codes.OutOfRange:
		kind = errdefs.StoreCompacted
	case codes.InvalidArgument:
		kind = errdefs.Invalid
	}
	return kind.Wrap(err, format, args...)
}
