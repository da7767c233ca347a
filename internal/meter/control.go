// Package meter counts what an instance does, as expvar variables.
package meter

import "expvar"

// Counters counts the traffic by which instances lead, agree and learn. The names of the
// variables are those of the fields in kebab case.
type Counters struct {
	all *expvar.Map

	// ExchangesSent and ExchangesFailed count exchanges with servers and gates, ExchangeBytes
	// their bodies in both directions.
	ExchangesSent   *expvar.Int
	ExchangesFailed *expvar.Int
	ExchangeBytes   *expvar.Int
	// CallsSent and CallsFailed count calls to other instances.
	CallsSent   *expvar.Int
	CallsFailed *expvar.Int
	// PeerBytesOut and PeerBytesIn count plain bytes of calls to other instances.
	PeerBytesOut *expvar.Int
	PeerBytesIn  *expvar.Int
	// LogAppends, LogAppendsFailed and LogReads count calls of the log.
	LogAppends       *expvar.Int
	LogAppendsFailed *expvar.Int
	LogReads         *expvar.Int
	LogReadsFailed   *expvar.Int
	// RecordsRefused counts records that the fold refused.
	RecordsRefused *expvar.Int
	// TermsBegun and TermsEnded count the terms of this instance as leader.
	TermsBegun *expvar.Int
	TermsEnded *expvar.Int
	// TablesTaken counts newer routing tables.
	TablesTaken *expvar.Int
	// BundleVersion is the version in force.
	BundleVersion *expvar.Int
	// EventsDropped counts what did not fit into a ring.
	EventsDropped *expvar.Int
}

// NewCounters returns counters at zero, not published yet.
func NewCounters() *Counters {
	c := &Counters{all: new(expvar.Map).Init()}
	for name, into := range c.fields() {
		*into = new(expvar.Int)
		c.all.Set(name, *into)
	}
	return c
}

// Var returns the counters as one variable.
func (c *Counters) Var() expvar.Var {
	return c.all
}

func (c *Counters) fields() map[string]**expvar.Int {
	return map[string]**expvar.Int{
		"exchanges-sent":     &c.ExchangesSent,
		"exchanges-failed":   &c.ExchangesFailed,
		"exchange-bytes":     &c.ExchangeBytes,
		"calls-sent":         &c.CallsSent,
		"calls-failed":       &c.CallsFailed,
		"peer-bytes-out":     &c.PeerBytesOut,
		"peer-bytes-in":      &c.PeerBytesIn,
		"log-appends":        &c.LogAppends,
		"log-appends-failed": &c.LogAppendsFailed,
		"log-reads":          &c.LogReads,
		"log-reads-failed":   &c.LogReadsFailed,
		"records-refused":    &c.RecordsRefused,
		"terms-begun":        &c.TermsBegun,
		"terms-ended":        &c.TermsEnded,
		"tables-taken":       &c.TablesTaken,
		"bundle-version":     &c.BundleVersion,
		"events-dropped":     &c.EventsDropped,
	}
}
