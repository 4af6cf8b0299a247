// Package dherrors adds a machine-readable kind and an HTTP status code to the
// errors that operators see. The message of every such error names a remedy.
package dherrors

import (
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhconsensus"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhcontrolclient"
	"dogwoodhitch/io/dhdisk"
	"dogwoodhitch/io/dhloop"
	"dogwoodhitch/io/dhwire"
)

// Kind is the machine-readable kind of an error.
type Kind string

// Kinds of errors.
const (
	// KindInvalid means that a change set is well-formed, but an object in it is
	// invalid. A request, argument or file of a wrong form is KindMalformed.
	KindInvalid        Kind = "invalid"
	KindConflict       Kind = "conflict"
	KindChangeIDReused Kind = "changeIdReused"
	KindMembersRefused Kind = "membersRefused"
	KindMalformed      Kind = "malformed"
	KindNotFound       Kind = "notFound"
	KindDenied         Kind = "denied"
	// KindBusy means that a request isn't served because too many others wait, or the disk stalls.
	KindBusy Kind = "busy"
	// KindOutcomeUnknown means that a change may or may not take effect, or that
	// a process can't confirm that its configuration is current.
	KindOutcomeUnknown Kind = "unsure"
	// KindUnreachable means that no process responded.
	KindUnreachable Kind = "unreachable"
	KindSettings    Kind = "settings"
	KindDataFolder  Kind = "dataFolder"
	KindInternal    Kind = "internal"
)

// kindKey is the key of the kind among the values attached to an error.
type kindKey struct{}

// statusByKind maps kinds to HTTP status codes. Refusals of commands by the
// control state have kinds that aren't listed here; see HTTPStatus.
var statusByKind = map[Kind]int{
	KindInvalid:        http.StatusUnprocessableEntity,
	KindConflict:       http.StatusConflict,
	KindChangeIDReused: http.StatusConflict,
	KindMembersRefused: http.StatusConflict,
	KindMalformed:      http.StatusBadRequest,
	KindNotFound:       http.StatusNotFound,
	KindDenied:         http.StatusUnauthorized,
	KindOutcomeUnknown: http.StatusGatewayTimeout,
	KindBusy:           http.StatusServiceUnavailable,
	KindUnreachable:    http.StatusBadGateway,
	KindInternal:       http.StatusInternalServerError,
}

// New returns an error of a kind. Its message is the text, which states what is
// wrong, followed by the remedy.
func New(kind Kind, text, remedy string) error {
	return Wrap(kind, errors.New(text+"; "+remedy))
}

// Wrap returns err with a kind. The message of err must name a remedy.
func Wrap(kind Kind, err error) error {
	status, found := statusByKind[kind]
	if !found {
		status = http.StatusInternalServerError
	}
	return merry.Wrap(err, merry.WithHTTPCode(status), merry.WithValue(kindKey{}, kind), merry.NoCaptureStack())
}

// KindOf returns the kind that New or Wrap attached to an error. For other errors
// it follows from their type, and is KindInternal for unknown types.
func KindOf(err error) Kind {
	if kind, ok := merry.Value(err, kindKey{}).(Kind); ok {
		return kind
	}
	var conflict dhcatalog.ConflictError
	var invalid dhcatalog.InvalidError
	var reused dhcatalog.ReusedError
	var members dhconsensus.MembersError
	var refused dhmessage.RefusedError
	var format dhwire.FormatError
	var corrupt dhdisk.CorruptionError
	var busy dhloop.BusyError
	var ended dhloop.EndedError
	var unanswered dhcontrolclient.UnansweredError
	var stalled dhcontrolclient.StalledError
	switch {
	case errors.As(err, &conflict):
		return KindConflict
	case errors.As(err, &invalid):
		return KindInvalid
	case errors.As(err, &reused):
		return KindChangeIDReused
	case errors.As(err, &members):
		return KindMembersRefused
	case errors.As(err, &refused):
		return Kind(refused.Kind())
	case errors.As(err, &format):
		return KindMalformed
	case errors.As(err, &corrupt):
		return KindDataFolder
	case errors.As(err, &busy) || errors.As(err, &stalled):
		return KindBusy
	case errors.As(err, &ended), errors.As(err, &unanswered):
		return KindOutcomeUnknown
	default:
		return KindInternal
	}
}

// HTTPStatus returns the HTTP status code of an error: that of its kind, or 409
// Conflict for kinds without one, such as those of refused commands.
func HTTPStatus(err error) int {
	kind := KindOf(err)
	if status, found := statusByKind[kind]; found {
		return status
	}
	return http.StatusConflict
}
