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
	return wrapStatus(err, errdefs.StoreUnavailable, format, args...)
}

// writeError wraps the gRPC error of a write. Without a response the error is
// StoreUnknown, because the write may have taken effect: gRPC reports a refused
// connection and a lost response with the same code. It returns nil for nil.
func writeError(err error, format string, args ...any) error {
	return wrapStatus(err, errdefs.StoreUnknown, format, args...)
}

// wrapStatus wraps err in the type for its status code; noResponse is the type for
// every code that does not show whether the call ran.
func wrapStatus(err error, noResponse *errorx.Type, format string, args ...any) error {
	if err == nil {
		return nil
	}
	errType := noResponse
	switch status.Code(err) {
	case codes.ResourceExhausted:
		errType = errdefs.StoreLimited
	case codes.FailedPrecondition, codes.Unimplemented, codes.PermissionDenied:
		errType = errdefs.StoreUnavailable // the store responded that it did not run the call
	case codes.NotFound:
		errType = errdefs.NotFound
	case codes.OutOfRange:
		errType = errdefs.StoreCompacted
	case codes.InvalidArgument:
		errType = errdefs.Invalid
	}
	return errType.Wrap(err, format, args...)
}
