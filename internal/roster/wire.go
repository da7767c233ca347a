package roster

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"example.org/mustardring/internal/logpos"
)

// eraTag begins an element of Failing that states the eras of the positions in a heartbeat or a report as it is transmitted:
// the latest known one and, if they are not all the same, those of the positions in their order. The positions themselves
// are transmitted as offsets. Instances of releases that do not know eras read the offsets, take the element for the id of
// a server that is not listed, and could not decode a further field.
const eraTag = "@"

// readEndTag begins an element of Failing that states Heartbeat.ReadEnd, as a number.
const readEndTag = "="

// ToWire returns a heartbeat as it is transmitted.
func (h Heartbeat) ToWire() Heartbeat {
	h.Failing = tagEras(h.Failing, h.LatestEra, &h.Confirmed, &h.Known, &h.ConfigEnd, &h.ServersEnd)
	h.LatestEra = 0
	if h.ReadEnd > 0 {
		h.Failing = append(slices.Clone(h.Failing), readEndTag+strconv.FormatInt(int64(h.ReadEnd), 10))
		h.ReadEnd = 0
	}
	return h
}

// FromWire reverses ToWire. A malformed statement counts as none.
func (h Heartbeat) FromWire() Heartbeat {
	h.Failing, h.LatestEra = untagEras(h.Failing, &h.Confirmed, &h.Known, &h.ConfigEnd, &h.ServersEnd)
	h.ReadEnd = 0
	h.Failing = takeTagged(h.Failing, readEndTag, func(statement string) {
		if end, err := strconv.ParseInt(statement, 10, 64); err == nil && end > 0 {
			h.ReadEnd = logpos.Pos(end)
		}
	})
	return h
}

// takeTagged passes the elements that begin with a tag on, without it, and returns the others.
func takeTagged(failing []string, tag string, statement func(string)) (rest []string) {
	tagged := func(id string) bool { return strings.HasPrefix(id, tag) }
	if !slices.ContainsFunc(failing, tagged) {
		return failing
	}
	for _, id := range failing {
		if tagged(id) {
			statement(id[len(tag):])
			continue
		}
		rest = append(rest, id)
	}
	return rest
}

// ToWire returns a report as it is transmitted.
func (r Report) ToWire() Report {
	r.Failing = tagEras(r.Failing, r.LatestEra, &r.Confirmed, &r.Known)
	r.LatestEra = 0
	return r
}

// FromWire reverses ToWire.
func (r Report) FromWire() Report {
	r.Failing, r.LatestEra = untagEras(r.Failing, &r.Confirmed, &r.Known)
	return r
}

// tagEras returns failing with an element that states eras, and removes the eras from positions.
func tagEras(failing []string, latest logpos.Era, positions ...*logpos.Pos) []string {
	same, stated := true, latest != 0
	tag := eraTag + strconv.FormatUint(uint64(latest), 10)
	all := tag
	for _, p := range positions {
		same = same && p.Era() == latest
		stated = stated || p.Era() != 0
		all += "," + strconv.FormatUint(uint64(p.Era()), 10)
		*p = logpos.Pos(p.Offset())
	}
	switch {
	case !stated:
		return failing
	case same:
		return append(slices.Clone(failing), tag)
	default:
		return append(slices.Clone(failing), all)
	}
}

// untagEras reverses tagEras. It returns the latest era, zero if none is stated.
func untagEras(failing []string, positions ...*logpos.Pos) (rest []string, latest logpos.Era) {
	at := slices.IndexFunc(failing, func(id string) bool { return strings.HasPrefix(id, eraTag) })
	if at < 0 {
		return failing, 0
	}
	rest = slices.Delete(slices.Clone(failing), at, at+1)
	eras, err := parseEras(failing[at][len(eraTag):], len(positions))
	if err != nil {
		return rest, 0
	}
	for i, p := range positions {
		*p = p.In(eras[i+1])
	}
	return rest, eras[0]
}

// parseEras decodes one era, which stands for all, or the latest one and that of each position.
func parseEras(tag string, positions int) ([]logpos.Era, error) {
	fields := strings.Split(tag, ",")
	if len(fields) != 1 && len(fields) != 1+positions {
		return nil, fmt.Errorf("roster: %d eras for %d positions", len(fields), positions)
	}
	eras := make([]logpos.Era, 1+positions)
	for i := range eras {
		era, err := strconv.ParseUint(fields[min(i, len(fields)-1)], 10, 32)
		if err != nil || era > uint64(logpos.MaxEra) {
			return nil, fmt.Errorf("roster: malformed era %.20q", tag)
		}
		eras[i] = logpos.Era(era)
	}
	return eras, nil
}

// InEras returns a heartbeat of a release that does not know eras, whose positions are in those of the receiver: of the
// owners, the configuration and the directory.
func (h Heartbeat) InEras(owners, config, servers logpos.Era) Heartbeat {
	if h.LatestEra == 0 {
		h.Confirmed, h.Known = h.Confirmed.In(owners), h.Known.In(owners)
		h.ConfigEnd, h.ServersEnd = h.ConfigEnd.In(config), h.ServersEnd.In(servers)
	}
	return h
}
