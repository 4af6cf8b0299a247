package dhgrant

import (
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

func newLimit(rate, burst int64) dhcatalog.Limit {
	return dhcatalog.NewLimit(dhcatalog.LimitOptions{Rate: rate, Burst: burst})
}

// TestSplitPreservesTotal adds up the shares.
func TestSplitPreservesTotal(t *testing.T) {
	for _, n := range []int{0, 1, 3, 8, 870} {
		for _, l := range []dhcatalog.Limit{newLimit(1, 1), newLimit(100, 50), newLimit(12_345, 6789)} {
			owner, floor := Split(l, n)
			rate := owner.Rate() + floor.Rate()*dhmessage.Tokens(n)
			whole := owner.Burst() + floor.Burst()*dhmessage.Tokens(n)
			if rate != dhmessage.Tokens(l.Rate())*dhmessage.Token || whole != dhmessage.Tokens(l.Burst())*dhmessage.Token {
				t.Errorf("%d instances: rate %d, cap %d", n, rate, whole)
			}
			if floor.Burst() > 0 && floor.Burst() < dhmessage.Token {
				t.Errorf("%d instances: a floor of %d can't hold a token", n, floor.Burst())
			}
		}
	}
}

// TestGrantsOutOfOrder delivers grants out of order: the overtaken one is given
// up, reported as dropped once it is reached, and ignored when it comes.
func TestGrantsOutOfOrder(t *testing.T) {
	const token = dhmessage.Token
	h := NewHolder(0)
	h.AddGrant(1, dhmessage.NewGive("o", 2*token, 2*token, false), 0, TTL)
	h.AddGrant(1, dhmessage.NewGive("o", 3*token, 8*token, false), 0, TTL)
	h.AddGrant(1, dhmessage.NewGive("o", 3*token, 5*token, false), 0, TTL)
	spent := 0
	for h.Spend(1) {
		spent++
		a := h.TokenDemand("o", 0)
		if a.Dropped() > 0 && a.Used() < 5*token {
			t.Errorf("dropped %d reported at position %d", a.Dropped(), a.Used())
		}
	}
	if a := h.TokenDemand("o", 0); spent != 5 || a.Used() != 8*token || a.Dropped() != 3*token {
		t.Errorf("spent %d, used %d, dropped %d", spent, a.Used(), a.Dropped())
	}
}

// TestDroppedTokensReturnToBucket lets tokens expire at the holder.
func TestDroppedTokensReturnToBucket(t *testing.T) {
	const token = dhmessage.Token
	share := Share{rate: 10 * token, burst: 10 * token}
	w := NewOwner(0, share)
	amount, through := w.Grant(1000, "h", 1, 5*token)
	h := NewHolder(0)
	h.AddGrant(1, dhmessage.NewGive("o", amount, through, false), 1000, TTL)
	h.Spend(1001)
	h.Spend(1000 + TTL) // finds the rest expired
	a := h.TokenDemand("o", 0)
	w.Report(1000+TTL, "h", 1, a.Used(), a.Dropped())
	if w.Outstanding() != 0 || w.Level() != 9*token {
		t.Errorf("level %d, outstanding %d", w.Level(), w.Outstanding())
	}
}

// TestRaisedShareAppliesFromItsStart looks at a floor and an owner that nobody asked anything
// since their share was raised: they have what the old share made until the
// new one held, and what that made since.
func TestRaisedShareAppliesFromItsStart(t *testing.T) {
	const token = dhmessage.Token
	low, high := Share{rate: token, burst: 10 * token}, Share{rate: 10 * token, burst: 100 * token}
	h := NewHolder(0)
	h.SetFloor(0, low, 0)
	h.SetFloor(0, high, 3000)
	w := NewOwner(0, low)
	w.SetShare(0, high, 3000)
	spent := 0
	for h.Spend(5000) {
		spent++
	}
	w.Sweep(5000)
	if want := 3 + 20; spent != want || w.Level() != dhmessage.Tokens(want)*token {
		t.Errorf("floor %d, owner %d, want %d", spent, w.Level()/token, want)
	}
}

// BenchmarkHolderSpend spends tokens that are granted in time.
func BenchmarkHolderSpend(b *testing.B) {
	h := NewHolder(0)
	h.SetFloor(0, Share{rate: dhmessage.Token, burst: dhmessage.Token}, 0)
	b.ReportAllocs()
	position := dhmessage.Tokens(0)
	now := dhclock.Millis(0)
	for b.Loop() {
		if h.Held(now) < dhmessage.Token {
			position += 1000 * dhmessage.Token
			h.AddGrant(1, dhmessage.NewGive("o", 1000*dhmessage.Token, position, false), now, TTL)
		}
		h.CountRequest(now)
		if !h.Spend(now) {
			b.Fatal("no token")
		}
	}
}

// BenchmarkOwnerGrant grants tokens to 870 holders.
func BenchmarkOwnerGrant(b *testing.B) {
	w := NewOwner(0, Share{rate: 1_000_000 * dhmessage.Token, burst: 1_000_000 * dhmessage.Token})
	names := make([]string, 870)
	for i := range names {
		names[i] = string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
	}
	used := make([]dhmessage.Tokens, len(names))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		n := i % len(names)
		now := dhclock.Millis(i / len(names) * 100)
		w.Report(now, names[n], 1, used[n], 0)
		_, used[n] = w.Grant(now, names[n], 1, 10*dhmessage.Token)
	}
}
