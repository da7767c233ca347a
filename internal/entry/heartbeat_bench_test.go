package entry

import (
	"encoding/json"
	"testing"

	"github.com/sourcegraph/jsonrpc2"

	"example.org/mustardring/internal/leader"
)

// BenchmarkHeartbeat measures a heartbeat call between two instances: the time that both spend on it,
// without sockets, and the bytes of the request and the answer.
func BenchmarkHeartbeat(b *testing.B) {
	tests := map[string]func(t *testInstance, n uint64){
		"nothing new": func(*testInstance, uint64) {},
		"new table":   func(t *testInstance, n uint64) { t.state.TableSerial = n },
	}
	for name, change := range tests {
		b.Run(name, func(b *testing.B) {
			caller, callee := newTestInstance("dvorana-a-2", 1<<62), newTestInstance("dvorana-a-1", 1<<63)
			now, n, bytes := testStep, uint64(1000), 0
			for b.Loop() {
				now += leader.Time(1000)
				n++
				change(caller, n)
				bytes = callEncoded(b, caller, callee, now)
			}
			b.ReportMetric(float64(bytes), "bytes/call")
		})
	}
}

// callEncoded makes one heartbeat call, including the encoding, and returns the bytes of both
// messages.
func callEncoded(b *testing.B, from, to *testInstance, now leader.Time) int {
	heartbeat := from.peers.nextHeartbeat(now, to.state.Name, from.state)
	request := jsonrpc2.Request{Method: string(methodHeartbeat), ID: jsonrpc2.ID{Num: 12345}}
	must(b, request.SetParams(heartbeat))
	requestBytes := encode(b, request)
	var got Heartbeat
	must(b, json.Unmarshal(*request.Params, &got))
	to.peers.receive(now, got, false)
	response := jsonrpc2.Response{ID: request.ID}
	must(b, response.SetResult(to.peers.reply(now, got, to.state)))
	answerBytes := encode(b, response)
	var answer Heartbeat
	must(b, json.Unmarshal(*response.Result, &answer))
	from.peers.receive(now, answer.restore(heartbeat, to.state.Name), true)
	return len(requestBytes) + len(answerBytes)
}

func encode(b *testing.B, message any) []byte {
	data, err := json.Marshal(message)
	must(b, err)
	return data
}

func must(b *testing.B, err error) {
	if err != nil {
		b.Fatal(err)
	}
}
