package grant

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/keys"
)

var (
	low  = keys.Range{First: 0, Last: 99}
	high = keys.Range{First: 100, Last: 199}

	older = Term{Log: 1}
	newer = Term{Log: 1, Sub: 1}
)

// clock is a manual clock for tests.
type clock struct{ now Instant }

func (c *clock) read() Instant { return c.now }

func newTestHolder(c *clock) *Holder {
	return NewHolder(HolderConfig{
		Service: "svc", Server: "s", Incarnation: 7, Clock: c.read, MaxLease: 100 * time.Nanosecond,
	})
}

func exchangeOf(t Term, g *Grant) Exchange {
	return Exchange{Service: "svc", Server: "s", Term: t, Grant: g}
}

func grantOf(t Term, sequence uint64, deadline Instant, ranges ...keys.Range) *Grant {
	return &Grant{Epoch: Epoch{Term: t, Sequence: sequence}, Incarnation: 7, Deadline: deadline, Ranges: ranges}
}

func renewalOf(t Term, sequence uint64, deadline Instant) *Grant {
	g := grantOf(t, sequence, deadline)
	g.Renewal = true
	return g
}

func TestExchangeRefuses(t *testing.T) {
	foreign := grantOf(newer, 3, 1050, high)
	foreign.Incarnation = 8
	tests := map[string]struct {
		exchange Exchange
		at       Instant
		want     Refusal
	}{
		"other server":             {exchange: Exchange{Service: "svc", Server: "t", Term: newer}, want: RefusalOtherName},
		"other service":            {exchange: Exchange{Service: "svd", Server: "s", Term: newer}, want: RefusalOtherName},
		"lower term":               {exchange: exchangeOf(older, grantOf(older, 9, 1050, high)), want: RefusalFenced},
		"lower term, no grant":     {exchange: exchangeOf(older, nil), want: RefusalFenced},
		"other process":            {exchange: exchangeOf(newer, foreign), want: RefusalIncarnation},
		"deadline passed":          {exchange: exchangeOf(newer, grantOf(newer, 3, 1000, high)), want: RefusalLapsed},
		"deadline too far":         {exchange: exchangeOf(newer, grantOf(newer, 3, 1101, high)), want: RefusalTooLong},
		"older epoch":              {exchange: exchangeOf(newer, grantOf(newer, 1, 1050, high)), want: RefusalOldEpoch},
		"renewal of unknown epoch": {exchange: exchangeOf(newer, renewalOf(newer, 3, 1050)), want: RefusalUnknownSet},
		"renewal after expiry":     {exchange: exchangeOf(newer, renewalOf(newer, 2, 1090)), at: 1050, want: RefusalUnknownSet},
		"same epoch after expiry":  {exchange: exchangeOf(newer, grantOf(newer, 2, 1090, low)), at: 1050, want: RefusalUnknownSet},
		"renewal":                  {exchange: exchangeOf(newer, renewalOf(newer, 2, 1100))},
		"new set":                  {exchange: exchangeOf(newer, grantOf(newer, 3, 1100, high))},
		"query":                    {exchange: exchangeOf(newer, nil)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &clock{now: 1000}
			h := newTestHolder(c)
			is.Equal(h.Exchange(exchangeOf(newer, grantOf(newer, 2, 1050, low))).Refusal, RefusalNone)
			c.now = max(c.now, tt.at)
			before := h.Exchange(exchangeOf(newer, nil))
			a := h.Exchange(tt.exchange)
			is.Equal(a.Refusal, tt.want)
			is.Equal(a.Fence, newer)
			if tt.want != RefusalNone {
				is.Equal(a.Epoch, before.Epoch)
				is.Equal(a.Deadline, before.Deadline)
				is.Equal(a.Ranges, before.Ranges)
			}
		})
	}
}

func TestRenewalNeverShortens(t *testing.T) {
	is := is.New(t)
	c := &clock{now: 1000}
	h := newTestHolder(c)
	h.Exchange(exchangeOf(newer, grantOf(newer, 1, 1080, low)))
	is.Equal(h.Exchange(exchangeOf(newer, renewalOf(newer, 1, 1040))).Deadline, Instant(1080))
}

func TestAnswerOmitsKnownRanges(t *testing.T) {
	is := is.New(t)
	h := newTestHolder(&clock{now: 1000})
	a := h.Exchange(exchangeOf(newer, grantOf(newer, 1, 1080, low)))
	is.Equal(a.Ranges, []keys.Range{low})
	x := exchangeOf(newer, nil)
	x.Known = a.Epoch
	is.Equal(h.Exchange(x).Ranges, nil)
}

// A restarted server no longer knows that it accepted a newer leader. If it voted at once, the
// older leader could regain its majority while leases of the newer one are still valid.
func TestNewHolderDoesNotVote(t *testing.T) {
	is := is.New(t)
	c := &clock{now: 1000}
	h := newTestHolder(c)
	c.now = 1099
	is.Equal(h.Exchange(exchangeOf(newer, nil)).Voting, false)
	c.now = 1100
	is.Equal(h.Exchange(exchangeOf(newer, nil)).Voting, true)
}

func TestBegin(t *testing.T) {
	tests := map[string]struct {
		hash uint64
		at   Instant
		want error
	}{
		"owned":       {hash: 99, at: 1000},
		"not owned":   {hash: 100, at: 1000, want: ErrNotOwner},
		"last moment": {hash: 0, at: 1049},
		"expired":     {hash: 0, at: 1050, want: ErrLapsed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &clock{now: 1000}
			h := newTestHolder(c)
			h.Exchange(exchangeOf(newer, grantOf(newer, 1, 1050, low)))
			c.now = tt.at
			work, err := h.Begin(tt.hash)
			is.Equal(err, tt.want)
			is.Equal(work != nil, tt.want == nil)
		})
	}
}

// A request begins, and then its range is moved away by a newer grant. The range must not be
// granted to another server while the request runs, so it is reported as draining.
func TestRunningWorkIsDraining(t *testing.T) {
	is := is.New(t)
	h := newTestHolder(&clock{now: 1000})
	h.Exchange(exchangeOf(newer, grantOf(newer, 1, 1050, low, high)))
	work, err := h.Begin(150)
	is.NoErr(err)
	second, err := h.Begin(150)
	is.NoErr(err)

	a := h.Exchange(exchangeOf(newer, grantOf(newer, 2, 1050, low)))
	is.Equal(a.Draining, []keys.Range{{First: 150, Last: 150}})
	_, err = h.Begin(150)
	is.Equal(err, ErrNotOwner)
	is.NoErr(work.Check())

	work.End()
	second.End()
	is.Equal(work.Check(), ErrEnded)
	is.Equal(h.Exchange(exchangeOf(newer, nil)).Draining, nil)
}

// A server is paused within a request and its grant expires. Another server gets the range and
// runs the request when the caller retries it, and then the range comes back. If the paused
// request went on, its effect would happen twice.
func TestCheckFailsAfterExpiry(t *testing.T) {
	tests := map[string]struct {
		pause   Instant
		regrant bool
		want    error
	}{
		"short pause":                 {pause: 40},
		"long pause":                  {pause: 60, want: ErrLapsed},
		"long pause, range came back": {pause: 60, regrant: true, want: ErrLapsed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &clock{now: 1000}
			h := newTestHolder(c)
			h.Exchange(exchangeOf(newer, grantOf(newer, 1, 1050, low)))
			work, err := h.Begin(5)
			is.NoErr(err)
			c.now += tt.pause
			if tt.regrant {
				a := h.Exchange(exchangeOf(newer, grantOf(newer, 2, 1150, low)))
				is.Equal(a.Draining, []keys.Range{{First: 5, Last: 5}})
			}
			is.Equal(work.Check(), tt.want)
		})
	}
}
