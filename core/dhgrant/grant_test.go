package dhgrant

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

func newLimit(rate, burst int64) dhcatalog.Limit {
	return dhcatalog.NewLimit(dhcatalog.LimitOptions{Rate: rate, Burst: burst})
}

// TestSplitPreservesTotal checks that the owner's share and all floors add up to
// the limit, and that no floor is too small to hold a token.
func TestSplitPreservesTotal(t *testing.T) {
	for _, n := range []int{0, 1, 3, 8, 870} {
		for _, l := range []dhcatalog.Limit{newLimit(1, 1), newLimit(100, 50), newLimit(12_345, 6789)} {
			owner, floor := Split(l, n)
			rate := owner.Rate() + floor.Rate()*dhmessage.Tokens(n)
			burst := owner.Burst() + floor.Burst()*dhmessage.Tokens(n)
			if rate != dhmessage.Tokens(l.Rate())*dhmessage.Token || burst != dhmessage.Tokens(l.Burst())*dhmessage.Token {
				t.Errorf("%d instances: shares add up to rate %d and burst %d, want those of the limit", n, rate, burst)
			}
			if floor.Burst() > 0 && floor.Burst() < dhmessage.Token {
				t.Errorf("%d instances: floor with a burst of %d, less than one token", n, floor.Burst())
			}
		}
	}
}

// TestGrantsOutOfOrder delivers the third of three grants before the second. The
// holder must ignore the second, and report its tokens as dropped once it reaches
// their position, not before. Dropped tokens return to the owner's bucket, so
// that spending them as well would exceed the limit.
func TestGrantsOutOfOrder(t *testing.T) {
	const token = dhmessage.Token
	h := NewHolder(0)
	h.AddGrant(1, dhmessage.NewTokenGrant("o", 2*token, 2*token, false), 0, TTL)
	h.AddGrant(1, dhmessage.NewTokenGrant("o", 3*token, 8*token, false), 0, TTL)
	h.AddGrant(1, dhmessage.NewTokenGrant("o", 3*token, 5*token, false), 0, TTL)
	spent := 0
	for h.Spend(1) {
		spent++
		demand := h.TokenDemand("o", 0)
		if demand.Dropped() > 0 && demand.Consumed() < 5*token {
			t.Errorf("%d dropped tokens reported at position %d, before the lost grant", demand.Dropped(), demand.Consumed())
		}
	}
	if demand := h.TokenDemand("o", 0); spent != 5 || demand.Consumed() != 8*token || demand.Dropped() != 3*token {
		t.Errorf("spent %d, position %d, dropped %d", spent, demand.Consumed(), demand.Dropped())
	}
}

// TestDroppedTokensReturnToBucket has tokens expire unspent at the holder. Its
// report must return them to the owner's bucket. Otherwise they would count as
// spent, and the organisation would get less than its rate.
func TestDroppedTokensReturnToBucket(t *testing.T) {
	const token = dhmessage.Token
	share := Share{rate: 10 * token, burst: 10 * token}
	o := NewOwner(0, share)
	amount, endPosition := o.Grant(1000, "h", 1, 5*token)
	h := NewHolder(0)
	h.AddGrant(1, dhmessage.NewTokenGrant("o", amount, endPosition, false), 1000, TTL)
	h.Spend(1001)
	h.Spend(1000 + TTL) // drops the other tokens as expired
	demand := h.TokenDemand("o", 0)
	o.Report(1000+TTL, "h", 1, demand.Consumed(), demand.Dropped())
	if o.Outstanding() != 0 || o.Level() != 9*token {
		t.Errorf("level %d, outstanding %d", o.Level(), o.Outstanding())
	}
}

// TestRaisedShareAppliesFromItsStart raises the shares of a floor and of an owner
// that are next used long after the higher share applies. They must hold the
// tokens that accrued at the old share until then, and at the new share since. A
// refill at one share for the entire time would add too many or too few.
func TestRaisedShareAppliesFromItsStart(t *testing.T) {
	const token = dhmessage.Token
	low, high := Share{rate: token, burst: 10 * token}, Share{rate: 10 * token, burst: 100 * token}
	h := NewHolder(0)
	h.SetFloor(0, low, 0)
	h.SetFloor(0, high, 3000)
	o := NewOwner(0, low)
	o.SetShare(0, high, 3000)
	spent := 0
	for h.Spend(5000) {
		spent++
	}
	o.Sweep(5000)
	if want := 3 + 20; spent != want || o.Level() != dhmessage.Tokens(want)*token {
		t.Errorf("%d tokens in the floor and %d at the owner, want %d", spent, o.Level()/token, want)
	}
}

// BenchmarkHolderSpend measures spending a token while grants arrive in time.
func BenchmarkHolderSpend(b *testing.B) {
	h := NewHolder(0)
	h.SetFloor(0, Share{rate: dhmessage.Token, burst: dhmessage.Token}, 0)
	b.ReportAllocs()
	position := dhmessage.Tokens(0)
	now := dhclock.Millis(0)
	for b.Loop() {
		if h.Held(now) < dhmessage.Token {
			position += 1000 * dhmessage.Token
			h.AddGrant(1, dhmessage.NewTokenGrant("o", 1000*dhmessage.Token, position, false), now, TTL)
		}
		h.CountRequest(now)
		if !h.Spend(now) {
			b.Fatal("no token although a grant has been added")
		}
	}
}

// BenchmarkOwnerGrant measures a report and a grant for one of 870 holders.
func BenchmarkOwnerGrant(b *testing.B) {
	o := NewOwner(0, Share{rate: 1_000_000 * dhmessage.Token, burst: 1_000_000 * dhmessage.Token})
	names := make([]string, 870)
	for i := range names {
		names[i] = string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
	}
	positions := make([]dhmessage.Tokens, len(names))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		holder := i % len(names)
		now := dhclock.Millis(i / len(names) * 100)
		o.Report(now, names[holder], 1, positions[holder], 0)
		_, positions[holder] = o.Grant(now, names[holder], 1, 10*dhmessage.Token)
	}
}

// TestManyHoldersShareASmallLimit sends eight tenths of a small limit's rate for one minute,
// each request to another of 273 instances, 20 ms from the owner. No request may wait for its
// token for longer than 200 ms: tokens that instances hold for requests that don't come are
// missing elsewhere.
func TestManyHoldersShareASmallLimit(t *testing.T) {
	const instances, rate, delay, maxWait = 273, 20, 20, 200
	share, floor := Split(newLimit(rate, rate/2), instances)
	owner := NewOwner(0, share)
	holders := make([]*Holder, instances)
	waiting := make([][]dhclock.Millis, instances)
	for i := range holders {
		holders[i] = NewHolder(0)
		holders[i].SetFloor(0, floor, 0)
	}
	var inFlight []delivery
	send := func(now dhclock.Millis, i int, tokens dhmessage.Tokens) {
		name, demand := fmt.Sprint(i), holders[i].TokenDemand("o", tokens)
		inFlight = append(inFlight, delivery{now + delay, func(at dhclock.Millis) {
			owner.Report(at, name, 1, demand.Consumed(), demand.Dropped())
			amount, end := owner.Grant(at, name, 1, demand.Amount())
			inFlight = append(inFlight, delivery{at + delay, func(at dhclock.Millis) {
				holders[i].AddGrant(1, dhmessage.NewTokenGrant("o", amount, end, amount < tokens), now, TTL)
				holders[i].RecordResponse(at)
			}})
		}})
	}
	total, late := 0, 0
	for now := dhclock.Millis(5000); now < 65_000; now++ {
		for len(inFlight) > 0 && inFlight[0].due <= now {
			d := inFlight[0]
			inFlight = inFlight[1:]
			d.deliver(now)
		}
		if now%50 == 0 && now/50%5 > 0 { // 16 a second
			i := total * 61 % instances
			total++
			holders[i].CountRequest(now)
			waiting[i] = append(waiting[i], now)
		}
		for i, h := range holders {
			for len(waiting[i]) > 0 && h.Spend(now) {
				waiting[i] = waiting[i][1:]
			}
			if len(waiting[i]) > 0 && now-waiting[i][0] > maxWait {
				late++
				waiting[i] = waiting[i][1:]
			}
			if tokens := h.TokensToRequest(now, len(waiting[i])); tokens > 0 || now%100 == 0 && h.Position() > 0 {
				send(now, i, tokens)
			}
		}
	}
	if late > 0 {
		t.Errorf("%d of %d requests waited for longer than %d ms", late, total, maxWait)
	}
}
