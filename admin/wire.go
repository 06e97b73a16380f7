package admin

import (
	"net/http"

	"github.com/joomcode/errorx"

	"siskingw/errdefs"
	"siskingw/object"
	"siskingw/publish"
)

// Error describes the failure of a request.
type Error struct {
	Type      string                   `json:"type"` // full name of an error type in package errdefs
	Message   string                   `json:"message"`
	Faults    []object.Fault           `json:"faults,omitempty"`
	Conflicts []publish.ObjectConflict `json:"conflicts,omitempty"`
}

// errorBody is the response body of a failed request. It nests the Error in a
// field so that it cannot be mistaken for a result.
type errorBody struct {
	Error *Error `json:"error"`
}

// wireErrors are the error types that the API preserves, with their status codes.
// The client returns errors of other types as Internal.
var wireErrors = []struct {
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

// toWire returns the status code and the body of the response for err.
func toWire(err error) (int, errorBody) {
	for _, t := range wireErrors {
		if errorx.IsOfType(err, t.errorType) {
			return t.status, errorBody{ErrorOf(err)}
		}
	}
	return http.StatusInternalServerError, errorBody{ErrorOf(err)}
}

// ErrorOf returns err as it is sent to the client.
func ErrorOf(err error) *Error {
	name := errdefs.Internal.FullName()
	if e := errorx.Cast(err); e != nil {
		name = e.Type().FullName()
	}
	return &Error{Type: name, Message: message(err), Faults: object.FaultsOf(err), Conflicts: publish.ConflictsOf(err)}
}

// message returns the text of err without the name of its type, which Error holds
// in a field of its own.
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

// fromWire returns the typed error for the body of a response.
func fromWire(body *Error) error {
	switch {
	case len(body.Faults) > 0:
		return object.NewInvalid(body.Faults)
	case len(body.Conflicts) > 0:
		return publish.NewConflict(body.Conflicts)
	}
	for _, t := range wireErrors {
		if t.errorType.FullName() == body.Type {
			return t.errorType.New("%s", body.Message)
		}
	}
	return errdefs.Internal.New("%s: %s", body.Type, body.Message)
}
