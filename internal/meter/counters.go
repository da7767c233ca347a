// Package meter counts the control-plane operations of an instance in expvar variables.
package meter

import "expvar"

// Counters counts control-plane operations: leadership, the shared log and calls between
// instances. Each variable is named after its field in kebab case.
type Counters struct {
	all *expvar.Map

	// ExchangesSent and ExchangesFailed count exchanges with servers and gates, and
	// ExchangeBytes the bytes of their bodies in both directions.
	ExchangesSent   *expvar.Int
	ExchangesFailed *expvar.Int
	ExchangeBytes   *expvar.Int
	// CallsSent and CallsFailed count calls to other instances.
	CallsSent   *expvar.Int
	CallsFailed *expvar.Int
	// PeerBytesOut and PeerBytesIn count bytes of calls to other instances, before
	// encryption.
	PeerBytesOut *expvar.Int
	PeerBytesIn  *expvar.Int
	// LogAppends, LogAppendsFailed, LogReads and LogReadsFailed count calls to the log service.
	LogAppends       *expvar.Int
	LogAppendsFailed *expvar.Int
	LogReads         *expvar.Int
	LogReadsFailed   *expvar.Int
	// RecordsRefused counts log records that this instance rejected instead of applying them.
	RecordsRefused *expvar.Int
	// TermsBegun and TermsEnded count how often this instance became and ceased to be leader.
	TermsBegun *expvar.Int
	TermsEnded *expvar.Int
	// TablesTaken counts routing tables that replaced an older one.
	TablesTaken *expvar.Int
	// BundleVersion is the version of the bundle in force.
	BundleVersion *expvar.Int
	// EventsDropped counts exchanges and appends that were dropped because their queue was full.
	EventsDropped *expvar.Int
}

// NewCounters returns counters at zero. Var returns the variable to publish.
func NewCounters() *Counters {
	c := &Counters{all: new(expvar.Map).Init()}
	for name, into := range c.fields() {
		*into = new(expvar.Int)
		c.all.Set(name, *into)
	}
	return c
}

// Var returns a map of all counters by name.
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
