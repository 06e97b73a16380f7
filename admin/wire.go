package admin

import (
	"net/http"

	"github.com/joomcode/errorx"

	"siskingw/errdefs"
	"siskingw/object"
	"siskingw/publish"
)

// Error is the body of every answer that is not a success.
type Error struct {
	Type      string                   `json:"type"` // full name of the type in package errdefs
	Message   string                   `json:"message"`
	Faults    []object.Fault           `json:"faults,omitempty"`
	Conflicts []publish.ObjectConflict `json:"conflicts,omitempty"`
}

// errorBody wraps Error so that it cannot be taken for a result.
type errorBody struct {
	Error *Error `json:"error"`
}

// wireTypes are the error types that the API tells apart, with status codes.
var wireTypes = []struct {
	errorType *errorx.Type
	status    int
}{
	{errdefs.Invalid, http.StatusUnprocessableEntity},
	{errdefs.Dangling, http.StatusUnprocessableEntity},
	{errdefs.Conflict, http.StatusConflict},
	{errdefs.NotFound, http.StatusNotFound},
	{errdefs.Busy, http.StatusTooManyRequests},
	{errdefs.StoreUnavailable, http.StatusServiceUnavailable},
	{errdefs.Stopped, http.StatusServiceUnavailable},
	{errdefs.StoreUnknown, http.StatusGatewayTimeout},
	{errdefs.Timeout, http.StatusGatewayTimeout},
	{errdefs.Internal, http.StatusInternalServerError},
}

// toWire returns the status code and body for err.
func toWire(err error) (int, errorBody) {
	for _, t := range wireTypes {
		if errorx.IsOfType(err, t.errorType) {
			return t.status, errorBody{ErrorOf(err)}
		}
	}
	return http.StatusInternalServerError, errorBody{ErrorOf(err)}
}

// ErrorOf returns the wire form of err.
func ErrorOf(err error) *Error {
	name := errdefs.Internal.FullName()
	if e := errorx.Cast(err); e != nil {
		name = e.Type().FullName()
	}
	return &Error{Type: name, Message: message(err), Faults: object.FaultsOf(err), Conflicts: publish.ConflictsOf(err)}
}

// message returns the text of err without the name of its type, which the
// answer holds already.
func message(err error) string {
	e := errorx.Cast(err)
	if e == nil || e.Message() == "" {
		return err.Error()
	}
	if cause := e.Cause(); cause != nil {
		return e.Message() + ": " + cause.Error()
	}
	return e.Message()
}

// fromWire returns the typed error that the node answered with.
func fromWire(body *Error) error {
	switch {
	case len(body.Faults) > 0:
		return object.NewInvalid(body.Faults)
	case len(body.Conflicts) > 0:
		return publish.NewConflict(body.Conflicts)
	}
	for _, t := range wireTypes {
		if t.errorType.FullName() == body.Type {
			return t.errorType.New("%s", body.Message)
		}
	}
	return errdefs.Internal.New("%s: %s", body.Type, body.Message)
}
