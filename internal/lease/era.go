package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/shard"
)

// The keys of records that depend on the era of the store.
const (
	// keyEra, followed by the era, is the key of the record that puts owners in force in it.
	keyEra = "era/"
	// keyOwners, followed by the era, a slash and the name of a service, is the key of its owners in an era. A record that
	// was decided in an earlier era, and is carried out after the return of the store, does not replace one of this era.
	keyOwners = "owners/"
)

// opening is the content of the record that puts the owners before it in force.
type opening struct {
	Era logpos.Era `json:"era"`
	// ShortKeys says that the records of owners have keys without an era. They were written by an instance of a release that
	// does not know eras, or are read by one.
	ShortKeys bool `json:"short-keys,omitempty"`
}

// record returns the record of an opening.
func (o opening) record() (follow.Record, error) {
	value, err := json.Marshal(o)
	return follow.Record{Key: keyEra + strconv.FormatUint(uint64(o.Era), 10), Value: value}, err
}

// opening returns the record that put the owners of the view in force.
func (v *View) opening() opening { return opening{Era: v.Opened, ShortKeys: v.shortKeys} }

var (
	errUnknownKey = errors.New("lease: record with an unknown key")
	// errMalformedOpening means that a record does not put owners in force although its key says so.
	errMalformedOpening = errors.New("lease: malformed record of an era")
)

// ownersKey returns the key of the record of the owners of a service.
func (v *View) ownersKey(service string) string {
	if v.Opened == 0 || v.shortKeys {
		return keyService + service
	}
	return ownersKeyIn(v.Opened, service)
}

func ownersKeyIn(era logpos.Era, service string) string {
	return keyOwners + strconv.FormatUint(uint64(era), 10) + "/" + service
}

// parseOwnersKey splits the key of a record of owners into the era, zero if it has none, and the rest. It reports whether it
// is such a key.
func parseOwnersKey(key string) (era logpos.Era, rest string, ok bool) {
	if rest, found := strings.CutPrefix(key, keyService); found {
		return 0, rest, true
	}
	rest, found := strings.CutPrefix(key, keyOwners)
	number, service, split := strings.Cut(rest, "/")
	stated, err := strconv.ParseUint(number, 10, 32)
	if !found || !split || err != nil || stated > uint64(logpos.MaxEra) {
		return 0, "", false
	}
	return logpos.Era(stated), service, true
}

// stagedOwners are the owners of a service in an era that is being opened. They are replaced, never modified.
type stagedOwners struct {
	era  logpos.Era
	view *View
}

// stage keeps a record of owners of an era that is not open yet.
func (v *View) stage(era logpos.Era, key string, r follow.Record) error {
	service, _, _ := parsePartKey(key)
	s := v.staged[service]
	if s == nil || s.era < era {
		s = &stagedOwners{era: era, view: newView()}
	}
	view := s.view.clone()
	if err := view.putOwners(key, r); err != nil {
		return err
	}
	if v.staged == nil {
		v.staged = map[string]*stagedOwners{}
	}
	v.staged[service] = &stagedOwners{era: era, view: view}
	return nil
}

// stagedRecords returns the records of the owners that are staged.
func (v *View) stagedRecords() ([]follow.Record, error) {
	var out []follow.Record
	for service, s := range v.staged {
		key := ownersKeyIn(s.era, service)
		if m := s.view.Maps[service]; m != nil {
			data, err := m.Encode()
			if err != nil {
				return nil, err
			}
			out = append(out, follow.Record{Key: key, Value: data})
		}
		for index, part := range s.view.parts[service] {
			if part == nil {
				continue
			}
			data, err := part.Encode()
			if err != nil {
				return nil, err
			}
			out = append(out, follow.Record{Key: key + partSeparator + strconv.Itoa(index), Value: data})
		}
	}
	return out, nil
}

// putOpening puts the staged owners in force.
func (v *View) putOpening(r follow.Record) error {
	if len(r.Value) == 0 {
		// A later era is open.
		return nil
	}
	var o opening
	if err := json.Unmarshal(r.Value, &o); err != nil || o.Era == 0 || o.Era > logpos.MaxEra {
		return fmt.Errorf("%w: %q", errMalformedOpening, r.Value)
	}
	if o.Era <= v.Opened {
		return nil
	}
	v.Opened, v.shortKeys = o.Era, o.ShortKeys
	if o.ShortKeys {
		return nil
	}
	v.Maps, v.parts = map[string]*shard.Map{}, nil
	for service, s := range v.staged {
		if s.era != o.Era {
			continue
		}
		for name, m := range s.view.Maps {
			v.Maps[name] = m
		}
		if parts := s.view.parts[service]; parts != nil {
			if v.parts == nil {
				v.parts = map[string][]*shard.Map{}
			}
			v.parts[service] = parts
		}
	}
	v.staged = nil
	return nil
}
