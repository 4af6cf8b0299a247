package dhprocess

import (
	"strconv"

	"github.com/sirupsen/logrus"

	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// recordRequest counts a request that has ended and logs its outcome and its
// attempts. The number of log lines is limited for each kind of end separately, so
// that refusals and late responses are logged even if most requests succeed. Under
// load only a sample of the successful ones is logged.
func (p *Process) recordRequest(e *dheffect.RecordRequest) {
	p.metrics.RecordRequest(e)
	p.decisionLog.Write(requestLogKind(e), func() (logrus.Fields, string) {
		attempts := make([]map[string]any, 0, len(e.Attempts()))
		for _, a := range e.Attempts() {
			fields := map[string]any{
				"to": a.Target(), "sentMs": a.SentAfter().Milliseconds(), "end": a.End().String(), "ms": a.Latency().Milliseconds(),
			}
			if age := a.ConfigAge(); age > 0 {
				fields["ageMs"] = age.Milliseconds()
			}
			if a.Status() > 0 {
				fields["status"] = a.Status()
			}
			if n := a.Carried(); n != nil {
				fields["carried"] = *n
			}
			if l := a.Limit(); l != nil {
				fields["limitPer1000s"] = l.PerThousandSeconds()
			}
			attempts = append(attempts, fields)
		}
		fields := logrus.Fields{
			"request": e.CallerRequestID(), "route": e.Route(), "service": e.Service(), "organisation": e.Organisation(),
			"object": strconv.FormatUint(e.ObjectHash(), 36), "content": contentText(e.Fingerprint()),
			"status": e.Status(), "refusal": e.RefusalKind(), "mayHaveRun": e.MayHaveRun(), "withinRate": e.WithinRate(),
			"ms": e.Latency().Milliseconds(), "deadlineMs": e.Timeout().Milliseconds(), "late": e.ObjectiveMissed(),
			"version": e.ConfigVersion(), "ageMs": e.ConfigAge().Milliseconds(), "attempts": attempts,
		}
		if e.RefusalKind().LacksToken() {
			fields["tokenMs"] = e.TokenWait().Milliseconds()
		}
		if silence := e.OwnerSilence(); silence != nil {
			fields["ownerSilentMs"] = silence.Milliseconds()
		}
		return fields, "request ended"
	})
}

// contentText returns the text that identifies a request's content in log lines, or "".
func contentText(f *dhmessage.Fingerprint) string {
	if f == nil {
		return ""
	}
	return f.String()
}

// requestLogKind returns the kind of a request's end, by which the log lines are
// limited.
func requestLogKind(e *dheffect.RecordRequest) string {
	switch {
	case e.RefusalKind() != "":
		return "ended " + string(e.RefusalKind())
	case e.Status() >= minFailureStatus:
		return "ended failed"
	case e.ObjectiveMissed():
		return "ended late"
	default:
		return "ended answered"
	}
}

// minFailureStatus is the lowest status code that counts as a failure of the
// upstream.
const minFailureStatus = 500
