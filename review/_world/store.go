package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store stands in for the platform's store: partition 0 of topics, whose records are never dropped.
type store struct {
	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
	address string
}

type storeRecord struct {
	key   string
	value []byte
}

func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string][]storeRecord{}, changed: make(chan struct{}), address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.append)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("GET /-/log-newest", s.newest)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put appends a record, as the operator and the upstreams do. A nil value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	topic := r.URL.Query().Get("topic")
	if err != nil {
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if asOf := r.URL.Query().Get("asOf"); asOf != "" && asOf != strconv.Itoa(end) {
		answerJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+size]
		n := int(content[0])
		s.topics[topic] = append(s.topics[topic], storeRecord{string(content[1 : 1+n]), content[1+n:]})
		body = body[4+size:]
	}
	s.notify()
	answerJSON(w, http.StatusOK, map[string]any{"offset": end, "end": len(s.topics[topic])})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for waited := wait == 0; ; {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if len(records) > from || waited {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, record := range records[min(from, len(records)):] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(record.key)+len(record.value)))
				out = append(out, byte(len(record.key)))
				out = append(out, record.key...)
				out = append(out, record.value...)
				if len(out) > 1<<20 {
					break
				}
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-limit:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	records := s.topics[q.Get("topic")]
	s.mu.Unlock()
	last := map[string]int{}
	for i, record := range records {
		last[record.key] = i
	}
	keys := []string{}
	for key, i := range last {
		if len(records[i].value) > 0 && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, more := []map[string]any{}, false
	for _, key := range keys {
		if len(items) == 500 {
			more = true
			break
		}
		i := last[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(records[i].value), "offset": i})
	}
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(records)})
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
