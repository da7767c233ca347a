package node

import (
	"bytes"
	"cmp"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"

	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/lease"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/pack"
)

// topicCopy holds the records of a topic as this instance has read them, to pass them on to peers. Its methods are
// safe for concurrent use.
type topicCopy struct {
	mu sync.Mutex
	// records holds the newest record of each key before end, deletions included.
	records map[string]follow.Record
	end     logpos.Pos
	// completeFrom is the offset from which on no deletion is missing.
	completeFrom logpos.Pos
	loaded       bool
	// snapshot is the encoded snapshot up to snapshotEnd.
	snapshot    []byte
	snapshotEnd logpos.Pos
}

// maxDeletions is the number of deletions that a copy keeps. Peers that know less get a snapshot.
const maxDeletions = 4096

func newTopicCopy() *topicCopy { return &topicCopy{records: map[string]follow.Record{}} }

// apply adds an update.
func (c *topicCopy) apply(u follow.Update) {
	if u.Err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Snapshot && u.End >= c.end {
		clear(c.records)
		c.completeFrom = u.End
	}
	if u.Snapshot {
		c.loaded = true
	}
	deletions := 0
	for _, r := range u.Records {
		if known, found := c.records[r.Key]; !found || r.Offset >= known.Offset {
			c.records[r.Key] = r
		}
		if len(r.Value) == 0 {
			deletions++
		}
	}
	c.end = max(c.end, u.End)
	if deletions > 0 {
		c.forgetDeletions()
	}
}

// forgetDeletions drops all deletions if there are too many. The lock is held.
func (c *topicCopy) forgetDeletions() {
	deletions := 0
	for _, r := range c.records {
		if len(r.Value) == 0 {
			deletions++
		}
	}
	if deletions <= maxDeletions {
		return
	}
	for key, r := range c.records {
		if len(r.Value) == 0 {
			delete(c.records, key)
		}
	}
	c.completeFrom = c.end
}

// known returns the end of the copy, and false if the topic was never read.
func (c *topicCopy) known() (logpos.Pos, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end, c.loaded
}

// since returns the encoded records from an offset on, or a snapshot if from is negative or deletions are missing.
func (c *topicCopy) since(from logpos.Pos) (encodedTopic, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if from < 0 || from < c.completeFrom {
		return c.encodeSnapshot()
	}
	var records []follow.Record
	for _, r := range c.records {
		if r.Offset >= from {
			records = append(records, r)
		}
	}
	body, err := encodeRecords(records)
	return encodedTopic{from: from, end: c.end, body: body}, err
}

// encodeSnapshot returns the newest record of each key. The lock is held.
func (c *topicCopy) encodeSnapshot() (encodedTopic, error) {
	if c.snapshot == nil || c.snapshotEnd != c.end {
		records := make([]follow.Record, 0, len(c.records))
		for _, r := range c.records {
			if len(r.Value) > 0 {
				records = append(records, r)
			}
		}
		body, err := encodeRecords(records)
		if err != nil {
			return encodedTopic{}, err
		}
		c.snapshot, c.snapshotEnd = body, c.end
	}
	return encodedTopic{end: c.end, snapshot: true, body: c.snapshot}, nil
}

// encodedTopic is a part of a topic as peers send it to each other.
type encodedTopic struct {
	from     logpos.Pos
	end      logpos.Pos
	snapshot bool
	body     []byte
}

// encodeRecords encodes records in the order of their positions, compressed. All are of one era, which is stated beside them.
func encodeRecords(records []follow.Record) ([]byte, error) {
	slices.SortFunc(records, func(a, b follow.Record) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Key, b.Key))
	})
	offsets := slices.Clone(records)
	for i := range offsets {
		offsets[i].Offset = logpos.At(0, offsets[i].Offset.Offset())
	}
	var packed, out bytes.Buffer
	if err := pack.Encode(&packed, offsets); err != nil {
		return nil, err
	}
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(packed.Bytes()); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// maxTopicSize is the maximum size of the decompressed records of a topic in bytes: a directory of 100,000 servers.
const maxTopicSize = 40 << 20

// errTopicSize means that a peer sent more than maxTopicSize.
var errTopicSize = errors.New("node: topic of a peer is too large")

// decodeRecords decodes what encodeRecords returned, given the era of the records. It fails if the data is cut short.
func decodeRecords(data io.Reader, era logpos.Era) ([]follow.Record, error) {
	packed, err := io.ReadAll(io.LimitReader(flate.NewReader(data), maxTopicSize+1))
	if err != nil {
		return nil, fmt.Errorf("node: records of a peer: %w", err)
	}
	if len(packed) > maxTopicSize {
		return nil, errTopicSize
	}
	records, err := pack.Decode[[]follow.Record](packed)
	for i := range records {
		records[i].Offset = records[i].Offset.In(era)
	}
	return records, err
}

// viewRecords returns the records of the topic of owners that make up a view. They get the offset of the last record
// before the end of the view.
func viewRecords(v *lease.View) ([]follow.Record, error) {
	records, err := v.Records()
	if err != nil {
		return nil, err
	}
	for i := range records {
		records[i].Offset = v.End - 1
	}
	return records, nil
}

// ownersCopy encodes the view of the owners. Its methods are safe for concurrent use.
type ownersCopy struct {
	mu   sync.Mutex
	view *lease.View
	body []byte
}

// of returns the encoded view.
func (c *ownersCopy) of(v *lease.View) (encodedTopic, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view != v {
		records, err := viewRecords(v)
		if err != nil {
			return encodedTopic{}, err
		}
		if c.body, err = encodeRecords(records); err != nil {
			return encodedTopic{}, err
		}
		c.view = v
	}
	return encodedTopic{end: v.End, snapshot: true, body: c.body}, nil
}
