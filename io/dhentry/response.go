package dhentry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"

	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
)

// Errors of responses that are not forwarded to the caller.
var (
	errWrongAttempt   = errors.New("the response belongs to another attempt")
	errInvalidStatus  = errors.New("the status code of the response is invalid")
	errTwoHeads       = errors.New("the head of the response contains the status line of another one")
	errCloseDelimited = errors.New("the response body has no length, so a truncated body can't be detected")
	errNotRun         = errors.New("the upstream or peer refused the request without running it")
	errUnproven       = errors.New("the status promises that the request didn't run, and nothing in the response proves it")
	errMisplaced      = errors.New("another upstream answers at the address")
	errMayHaveRun     = errors.New("the peer reports that the request may have run")
	errPeerUnable     = errors.New("the peer can't reach any upstream either, or its configuration is older")
)

// maxStatus is the highest status code that HTTP defines a class for.
const maxStatus = 599

// checkResponse returns an error if a response belongs to another attempt, if its status doesn't
// end a request, if its end can't be distinguished from a broken connection, or if it is a refusal of the
// upstream or peer, proven or not. The header field must have the value if the target must echo it
// or the response carries the field.
func (s *Server) checkResponse(r *http.Response, t target, field, value string) error {
	dialect := s.options.Dialect.options
	echo := r.Header.Get(field)
	if echo != value && (echo != "" || t.mustEcho) {
		return fmt.Errorf("%w: it echoes %q", errWrongAttempt, echo)
	}
	if r.StatusCode < http.StatusOK || r.StatusCode > maxStatus {
		return fmt.Errorf("%w: %q", errInvalidStatus, r.Status)
	}
	closeDelimited := r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.ProtoMajor == 1 && r.Request.Method != http.MethodHead
	if closeDelimited && !dialect.AllowCloseDelimited {
		return errCloseDelimited
	}
	run := r.Header.Get(HeaderRun)
	switch {
	case t.toPeer && run == NotRun && isUnable(dheffect.RefusalKind(r.Header.Get(HeaderRefusal))):
		return errPeerUnable
	case t.toPeer && run == NotRun:
		return errNotRun
	case t.toPeer && run == MayHaveRun:
		return errMayHaveRun
	case !t.toPeer && dialect.Misplaced(r.StatusCode, r.Header):
		return errMisplaced
	case !t.toPeer && dialect.NotRun(r.StatusCode, r.Header):
		return errNotRun
	case t.needsProof && dialect.Promises(r.StatusCode):
		return errUnproven
	default:
		return nil
	}
}

// hasSecondStatusLine reports whether the head of a response contains the status line of another
// one. That is so if a response breaks off in its head and the connection goes on with the next.
// Fields that net/http has moved out of the header are included.
func hasSecondStatusLine(r *http.Response) bool {
	if statusLine.MatchString(r.Status) {
		return true
	}
	for name := range r.Trailer {
		if statusLine.MatchString(name) {
			return true
		}
	}
	for _, values := range r.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// statusLine matches a status line, up to its reason phrase.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5]\d\d( |$)`)

// isUnable reports whether a peer refused a request before it sent it to any upstream.
func isUnable(kind dheffect.RefusalKind) bool {
	return kind == dheffect.RefuseNoUpstream || kind == dheffect.RefuseConfigurationStale
}

func attemptEndFor(err error) dhevent.AttemptEnd {
	switch {
	case errors.Is(err, errNotRun):
		return dhevent.EndRefused
	case errors.Is(err, errPeerUnable):
		return dhevent.EndNotSent
	case errors.Is(err, errMisplaced):
		return dhevent.EndMisplaced
	case errors.Is(err, errUnproven):
		return dhevent.EndUnproven
	default:
		return dhevent.EndBroken
	}
}

// readBodyPrefix buffers the start of the body, so that a response of at most
// limit bytes is forwarded only after it was received completely.
func (a *attempt) readBodyPrefix(limit int) error {
	limited := io.LimitReader(a.response.Body, int64(limit)+1)
	prefix, err := io.ReadAll(limited)
	if err != nil {
		return err
	}
	a.bodyPrefix = prefix
	a.complete = len(prefix) <= limit
	return nil
}
