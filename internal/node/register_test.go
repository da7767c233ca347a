package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/join"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
)

// Guards against instances that write their records again and again because reads fail or answers arrive too late. While
// 986 instances started together, each wrote its record 24 times.
func TestRegistrationIsWrittenOnce(t *testing.T) {
	silent := fmt.Errorf("%w: silent", follow.ErrUnknown)
	now := time.Now()
	later := now.Add(time.Hour)
	tests := map[string]struct {
		write func(r *registration)
		known ownersKnowledge
		due   bool
	}{
		"nothing sent":                    {func(*registration) {}, ownersKnowledge{}, true},
		"registered":                      {func(*registration) {}, ownersKnowledge{Registered: true}, false},
		"written, not read yet":           {func(r *registration) { r.attempted(7, nil, now) }, ownersKnowledge{End: 7, AsOf: later}, false},
		"written, and removed":            {func(r *registration) { r.attempted(7, nil, now) }, ownersKnowledge{End: 9}, true},
		"unknown, not read since":         {func(r *registration) { r.attempted(0, silent, now) }, ownersKnowledge{AsOf: now.Add(maxAppendTime)}, false},
		"unknown, read and missing":       {func(r *registration) { r.attempted(0, silent, now) }, ownersKnowledge{AsOf: now.Add(maxAppendTime + 1)}, true},
		"left to a seed":                  {func(r *registration) { r.delegated(now) }, ownersKnowledge{AsOf: now}, false},
		"left to a seed that did nothing": {func(r *registration) { r.delegated(now) }, ownersKnowledge{AsOf: now.Add(seedRegisterTime + 1)}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r registration
			test.write(&r)
			is.Equal(r.due(test.known, later), test.due)
		})
	}
}

// Guards against instances that keep an overloaded store busy with refused registrations.
func TestRefusedRegistrationsBackOff(t *testing.T) {
	is := is.New(t)
	var r registration
	now := time.Now()
	for range 12 {
		r.attempted(0, fmt.Errorf("%w: status 503", follow.ErrNotDone), now)
	}
	is.True(r.nextAt.Sub(now) >= maxRegisterDelay/2)
	is.True(r.due(ownersKnowledge{}, now.Add(2*maxRegisterDelay)))
}

// Guards against a seed that writes a registration again for an instance which cannot read that it is registered, and against
// one that does not write it again after the record was removed.
func TestSeedRemembersWhatItHasWritten(t *testing.T) {
	const end = 7
	tests := map[string]struct {
		known logpos.Pos
		after time.Duration
		again bool
		// era is that of the written record.
		era logpos.Era
	}{
		"not read yet":           {known: end - 1, after: 4 * join.WrittenTime},
		"read, and not there":    {known: end, after: seedRenewInterval, again: true},
		"not read for very long": {known: end - 1, after: 2 * time.Minute, again: true},
		"of the release before":  {known: 0, after: 4 * join.WrittenTime},
		"without an era":         {known: end - 1, after: 4 * join.WrittenTime, era: 2},
		"without an era, later":  {known: end, after: seedRenewInterval, era: 2, again: true},
		"lost by the store":      {known: logpos.At(3, 1), after: seedRenewInterval, era: 2, again: true},
		"era not read yet":       {known: logpos.At(2, end-1), after: 4 * join.WrittenTime, era: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			request := join.Request{Name: "a", Entry: roster.Entry{Incarnation: 7}, Register: true, KnownOffset: test.known.Offset(), KnownEra: test.known.Era()}
			b := join.NewBook("seed")
			b.Written([]join.Request{request}, logpos.At(test.era, end), now)
			for at := seedRenewInterval; at <= test.after; at += seedRenewInterval {
				b.DropUnwritten(now.Add(at))
				is.True(b.Register(request, now.Add(at)))
			}
			is.Equal(len(b.Take(10)) > 0, test.again)
		})
	}
}

// Guards against instances whose record is written by a seed after they have written it themselves, and against seeds that
// write records twice because they were asked twice.
func TestSeedWritesARegistrationOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	request := join.Request{Name: "a", Entry: roster.Entry{Incarnation: 7}, Register: true}
	b := join.NewBook("seed")
	is.True(b.Register(request, now))
	is.True(b.Register(request, now))
	batch := b.Take(10)
	is.Equal(len(batch), 1)
	b.Return(batch) // refused
	b.DropUnwritten(now.Add(seedRenewInterval))
	is.Equal(len(b.Take(10)), 1)
	b.Written(batch, 0, now)
	is.True(b.Register(request, now.Add(seedRenewInterval)))
	is.Equal(len(b.Take(10)), 0)
	request.Entry.Incarnation++
	is.True(b.Register(request, now.Add(seedRenewInterval)))
	is.Equal(len(b.Take(10)), 1)
	b.Return(batch)
	is.Equal(b.DropUnwritten(now.Add(join.WriteTime+1)), 1) // the instance may write its record by itself soon
	is.Equal(len(b.Take(10)), 0)
	var r registration
	r.delegated(now)
	is.True(r.writtenBy.Sub(now) >= join.WriteTime+maxAppendTime)
}
