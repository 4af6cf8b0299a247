package dhoperator

import (
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhcontrolclient"
	"dogwoodhitch/io/dherrors"
	"dogwoodhitch/io/dhproto"
	"dogwoodhitch/io/dhwire"
)

// minSecretLength is the minimum length of the secret of a caller's key, in bytes.
const minSecretLength = 16

// submitChange proposes a change set. With dryRun it only validates the change
// set against the configuration in force on this process. With wait it responds
// once the change is in force on every instance, or after inForceTimeout.
func (a *API) submitChange(r *http.Request) (any, error) {
	set, err := readChangeSet(r.Body)
	if err != nil {
		return nil, err
	}
	if queryFlag(r, "dryRun") {
		next, err := a.options.View().Catalog().Apply(set)
		if err != nil {
			return nil, err
		}
		return Changed{Version: next.Version(), DryRun: true}, nil
	}
	result, err := a.propose(r.Context(), dhmessage.NewChange(set))
	if err != nil {
		return nil, err
	}
	changed := Changed{Version: result.Version()}
	if queryFlag(r, "wait") {
		changed.InForce = a.waitInForce(r.Context(), result.Version())
	}
	return changed, nil
}

func queryFlag(r *http.Request, name string) bool { return r.URL.Query().Get(name) == "true" }

// readChangeSet reads and parses the change set in a request's body.
func readChangeSet(body io.Reader) (dhcatalog.ChangeSet, error) {
	raw, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		return dhcatalog.ChangeSet{}, dherrors.New(dherrors.KindMalformed, "reading the body failed: "+err.Error(), "resend the request")
	}
	return ParseChangeSet(raw)
}

// ParseChangeSet decodes a change set from JSON and replaces each key's secret
// by its hash, so that secrets are neither replicated nor stored.
func ParseChangeSet(raw []byte) (dhcatalog.ChangeSet, error) {
	m := &dhproto.ChangeSet{}
	if err := protojson.Unmarshal(raw, m); err != nil {
		return dhcatalog.ChangeSet{}, dherrors.New(dherrors.KindMalformed, err.Error(),
			"send a change set as docs/OPERATING.md shows; unknown fields are refused")
	}
	for _, o := range m.GetPuts() {
		k := o.GetKey()
		if k.GetSecret() == "" {
			continue
		}
		if len(k.GetSecret()) < minSecretLength {
			return dhcatalog.ChangeSet{}, dherrors.New(dherrors.KindInvalid,
				"key/"+k.GetName()+" has a secret of "+strconv.Itoa(len(k.GetSecret()))+" characters", "use at least 16 random characters")
		}
		hash := dhwire.HashSecret(k.GetSecret())
		k.Hash, k.Secret = hex.EncodeToString(hash[:]), ""
	}
	return dhwire.ChangeSetFromWire(m)
}

func (a *API) propose(ctx context.Context, c dhmessage.Command) (dhmessage.Result, error) {
	result, err := a.options.Control.Propose(ctx, dhcontrolclient.ProposeOptions{Command: c, Timeout: operationTimeout})
	switch kind := dherrors.KindOf(err); {
	case kind == dherrors.KindBusy || kind == dherrors.KindOutcomeUnknown:
		return result, err
	case err != nil:
		return result, dherrors.New(dherrors.KindOutcomeUnknown, "the request was cancelled before the result arrived", "resend it with the same id")
	case result.Err() != nil:
		return result, result.Err()
	case result.OutcomeUnknown():
		return result, dherrors.New(dherrors.KindOutcomeUnknown, "no majority of voters responded in time; the command may still be committed",
			"resend it with the same id, or read the status")
	default:
		return result, nil
	}
}

// waitInForce waits until a version is in force on every instance, and reports
// whether it was within inForceTimeout.
func (a *API) waitInForce(ctx context.Context, version uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for a.options.View().InForce() < version {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

func (a *API) history(r *http.Request) (any, error) {
	history, err := a.options.Control.History(r.Context())
	if err != nil {
		return nil, err
	}
	return struct {
		Changes []Accepted `json:"changes"`
	}{acceptedOf(history)}, nil
}
