package node

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
)

func records(from, to int) []follow.Record {
	var out []follow.Record
	for i := from; i < to; i++ {
		out = append(out, follow.Record{Key: fmt.Sprintf("k%d", i%50), Value: []byte("v"), Offset: logpos.Pos(i)})
	}
	return out
}

// Guards against peers that miss a deletion because they get only what is newer than they know.
func TestTopicCopyKeepsDeletions(t *testing.T) {
	is := is.New(t)
	c := newTopicCopy()
	c.apply(follow.Update{Snapshot: true, Batch: follow.Batch{Records: records(0, 50), End: 50}})
	c.apply(follow.Update{Batch: follow.Batch{Records: []follow.Record{{Key: "k3", Offset: 50}}, End: 51}})
	update, err := c.since(50)
	is.NoErr(err)
	got, err := decodeRecords(bytes.NewReader(update.body), 0)
	is.NoErr(err)
	is.Equal(len(got), 1)
	is.Equal(got[0].Key, "k3")
	is.True(!update.snapshot)
	update, err = c.since(10) // deletions before the snapshot are not known
	is.NoErr(err)
	is.True(update.snapshot)
	got, err = decodeRecords(bytes.NewReader(update.body), 0)
	is.NoErr(err)
	is.Equal(len(got), 49)
}

// Guards against a copy whose deletions grow without bound.
func TestTopicCopyForgetsOldDeletions(t *testing.T) {
	is := is.New(t)
	c := newTopicCopy()
	c.apply(follow.Update{Snapshot: true, Batch: follow.Batch{}})
	for i := range 2*maxDeletions + 1 {
		c.apply(follow.Update{Batch: follow.Batch{Records: []follow.Record{{Key: fmt.Sprint(i), Offset: logpos.Pos(i)}}, End: logpos.Pos(i + 1)}})
	}
	is.True(len(c.records) <= maxDeletions)
	update, err := c.since(1)
	is.NoErr(err)
	is.True(update.snapshot)
}

// Guards against a snapshot that is cut short, or in another format, and passes for a whole one.
func TestOddTopicsAreRefused(t *testing.T) {
	whole, err := encodeRecords(records(0, 500))
	if err != nil {
		t.Fatal(err)
	}
	headers := func() http.Header {
		h := http.Header{}
		h.Set(headerFormat, formatTopics)
		for _, name := range []string{headerFrom, headerEnd, headerStaleness, headerHeld} {
			h.Set(name, "5")
		}
		h.Set(headerSnapshot, "true")
		return h
	}
	tests := map[string]struct {
		body   []byte
		change func(h http.Header)
		ok     bool
	}{
		"whole":             {whole, func(http.Header) {}, true},
		"cut short":         {whole[:len(whole)-9], func(http.Header) {}, false},
		"empty":             {nil, func(http.Header) {}, false},
		"no topic":          {[]byte(strings.Repeat("x", 100)), func(http.Header) {}, false},
		"of another format": {whole, func(h http.Header) { h.Set(headerFormat, "2") }, false},
		"without an end":    {whole, func(h http.Header) { h.Del(headerEnd) }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := headers()
			test.change(h)
			p, err := decodeTopic(&http.Response{Header: h, Body: io.NopCloser(bytes.NewReader(test.body))}, 1)
			is.Equal(err == nil, test.ok)
			is.Equal(len(p.Records) == 500, test.ok)
		})
	}
}
