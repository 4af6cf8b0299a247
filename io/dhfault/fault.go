// Package dhfault holds the typed kinds of errors that operators see. Every
// message names the remedy.
package dhfault

import (
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhconsensus"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhdisk"
	"dogwoodhitch/io/dhwire"
)

// Kind is the machine-readable kind of an error.
type Kind string

// The kinds of errors.
const (
	KindInvalid        Kind = "invalid"
	KindConflict       Kind = "conflict"
	KindChangeIDReused Kind = "changeIdReused"
	KindMembersRefused Kind = "membersRefused"
	KindMalformed      Kind = "malformed"
	KindNotFound       Kind = "notFound"
	KindDenied         Kind = "denied"
	KindOutcomeUnknown Kind = "unsure"
	KindUnreachable    Kind = "unreachable"
	KindSettings       Kind = "settings"
	KindDataFolder     Kind = "dataFolder"
	KindInternal       Kind = "internal"
)

type kindKey struct{}

// statusByKind are the HTTP status codes of the kinds.
var statusByKind = map[Kind]int{
	KindInvalid:        http.StatusUnprocessableEntity,
	KindConflict:       http.StatusConflict,
	KindChangeIDReused: http.StatusConflict,
	KindMembersRefused: http.StatusConflict,
	KindMalformed:      http.StatusBadRequest,
	KindNotFound:       http.StatusNotFound,
	KindDenied:         http.StatusUnauthorized,
	KindOutcomeUnknown: http.StatusGatewayTimeout,
	KindUnreachable:    http.StatusBadGateway,
	KindInternal:       http.StatusInternalServerError,
}

// New returns an error of a kind. The text says what is wrong, the remedy what
// to do.
func New(k Kind, text, remedy string) error {
	return Wrap(k, errors.New(text+"; "+remedy))
}

// Wrap gives an error a kind. Its message must name the remedy.
func Wrap(k Kind, err error) error {
	status, found := statusByKind[k]
	if !found {
		status = http.StatusInternalServerError
	}
	return merry.Wrap(err, merry.WithHTTPCode(status), merry.WithValue(kindKey{}, k), merry.NoCaptureStack())
}

// KindOf returns an error's kind, also where no kind was given to it.
func KindOf(err error) Kind {
	if k, ok := merry.Value(err, kindKey{}).(Kind); ok {
		return k
	}
	var conflict dhcatalog.ConflictError
	var invalid dhcatalog.InvalidError
	var reused dhcatalog.ReusedError
	var members dhconsensus.MembersError
	var refused dhmessage.RefusedError
	var format dhwire.FormatError
	var damage dhdisk.CorruptionError
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
	case errors.As(err, &damage):
		return KindDataFolder
	default:
		return KindInternal
	}
}

// HTTPStatus returns the HTTP status code of an error.
func HTTPStatus(err error) int {
	k := KindOf(err)
	if status, found := statusByKind[k]; found {
		return status
	}
	return http.StatusConflict
}
