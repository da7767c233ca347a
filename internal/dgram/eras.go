package dgram

import (
	"slices"
	"strconv"

	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
)

// Positions are transmitted as offsets, and their era beside them in a way that instances of releases that do not know eras
// pass over: those go on comparing offsets among themselves.

// eraKey is the key of a record that states the era of the positions in a message in its value. Its offset is below all
// others, so that releases that do not know it skip the record.
const (
	eraKey    = "@era"
	eraOffset = -1
)

// toWire returns a message as it is transmitted.
func toWire(m Message) Message {
	switch m := m.(type) {
	case Heartbeat:
		return Heartbeat{m.ToWire()}
	case Digest:
		m.Heartbeat = m.ToWire()
		return m
	case OwnerChange:
		m.Offset = logpos.Pos(m.Offset.Offset())
		return m
	case RegisterUpdate:
		if len(m.Records) > 0 {
			m.Records = tagRecords(m.Records, m.Records[0].Offset.Era())
		}
		return m
	case TopicUpdate:
		m.Records = tagRecords(m.Records, m.End.Era())
		m.From, m.End = logpos.Pos(m.From.Offset()), logpos.Pos(m.End.Offset())
		return m
	case ViewRequest:
		m.End = logpos.Pos(m.End.Offset())
		return m
	case ViewSnapshot:
		m.End = logpos.Pos(m.End.Offset())
		return m
	default:
		return m
	}
}

// fromWire reverses toWire. The positions of messages without an era have none: the receiver takes them for those of
// its own era.
func fromWire(m Message) Message {
	switch m := m.(type) {
	case Heartbeat:
		return Heartbeat{m.FromWire()}
	case Digest:
		m.Heartbeat = m.FromWire()
		return m
	case OwnerChange:
		m.Offset = m.Offset.In(logpos.FenceEra(m.Fence))
		return m
	case RegisterUpdate:
		m.Records, _ = untagRecords(m.Records)
		return m
	case TopicUpdate:
		var era logpos.Era
		m.Records, era = untagRecords(m.Records)
		m.From, m.End = m.From.In(era), m.End.In(era)
		return m
	default:
		return m
	}
}

// tagRecords returns records with their offsets in place of their positions, after one that states their era.
func tagRecords(records []follow.Record, era logpos.Era) []follow.Record {
	if era == 0 {
		return records
	}
	out := make([]follow.Record, 0, len(records)+1)
	out = append(out, follow.Record{Key: eraKey, Value: strconv.AppendUint(nil, uint64(era), 10), Offset: eraOffset})
	for _, r := range records {
		r.Offset = logpos.Pos(r.Offset.Offset())
		out = append(out, r)
	}
	return out
}

// untagRecords reverses tagRecords. It returns era zero if none is stated.
func untagRecords(records []follow.Record) ([]follow.Record, logpos.Era) {
	at := slices.IndexFunc(records, func(r follow.Record) bool { return r.Key == eraKey && r.Offset == eraOffset })
	if at < 0 {
		return records, 0
	}
	stated, err := strconv.ParseUint(string(records[at].Value), 10, 32)
	out := slices.Delete(slices.Clone(records), at, at+1)
	if err != nil || stated > uint64(logpos.MaxEra) {
		return out, 0
	}
	for i := range out {
		out[i].Offset = out[i].Offset.In(logpos.Era(stated))
	}
	return out, logpos.Era(stated)
}
