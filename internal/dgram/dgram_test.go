package dgram

import (
	"bytes"
	"errors"
	"reflect"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/pack"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/shard"
)

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	sent := Heartbeat{Heartbeat: roster.Heartbeat{Name: "i1", Incarnation: 7, Known: 12, Failing: []string{"s1~a"}}}
	data, err := Encode(sent)
	is.NoErr(err)
	got, err := Decode(data)
	is.NoErr(err)
	is.Equal(got, sent)
}

// Guards against reports that instances of the previous release cannot decode: the number of fields of a message is encoded.
func TestLoadReportKeepsItsFields(t *testing.T) {
	is := is.New(t)
	is.Equal(reflect.TypeFor[LoadReport]().NumField(), 7)
	_, err := decodeKind([]byte{99, 0x90})
	is.True(errors.Is(err, ErrMessage)) // as that release answers to a ServerReport
}

// Guards against admissions that fail beside instances of the previous release, which decodes no message with other fields
// than its own and states none of the new ones.
func TestAdmissionsBesideThePreviousRelease(t *testing.T) {
	type previousRequest struct {
		Serial                      uint64
		Pool, Server, Domain, Route string
		Priority                    int
		Returning                   bool
		TargetInMs, DeadlineInMs    int
		Avoid                       string
		HasFallback                 bool
	}
	type previousDecision struct {
		Serial            uint64
		Server, Reason    string
		RetryInMs, WaitMs int
	}
	is := is.New(t)
	request := AdmissionRequest{Serial: 7, Pool: "p", Route: "r", TargetInMs: 9, HasFallback: true, Caller: 1 << 31, Origin: 1 << 63, Retry: true}
	decision := AdmissionDecision{Serial: 7, Reason: "overload", RetryInMs: 5, WaitMs: 6, Returns: 2, LastTry: true, Kept: true, Reserved: true}
	for _, sent := range []Message{request, decision} {
		data, err := Encode(sent)
		is.NoErr(err)
		got, err := Decode(data)
		is.NoErr(err)
		is.Equal(got, sent)
	}

	data, _ := Encode(request)
	known, err := pack.Decode[previousRequest](data[1:])
	is.NoErr(err)
	is.Equal(known, previousRequest{Serial: 7, Pool: "p", Route: "r", TargetInMs: 9, HasFallback: true})
	data, _ = Encode(decision)
	answer, err := pack.Decode[previousDecision](data[1:])
	is.NoErr(err)
	is.Equal(answer, previousDecision{Serial: 7, Reason: "overload", RetryInMs: 5, WaitMs: 6})

	var out bytes.Buffer
	out.WriteByte(AdmissionRequest{}.kind())
	is.NoErr(pack.Encode(&out, known))
	got, err := Decode(out.Bytes())
	is.NoErr(err)
	request.Caller, request.Origin, request.Retry = 0, 0, false
	is.Equal(got, request)
}

// Checks that Decode returns either a message or an error for any bytes.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		Heartbeat{Heartbeat: roster.Heartbeat{Name: "i1", Failing: []string{"s1"}}}, AdmissionRequest{}, AdmissionDecision{}, Completion{}, Cancel{}, LoadReport{Name: "i1", Keys: []uint16{1}},
		CrashReport{}, OwnerChange{Service: "s", Changes: []shard.Range{{From: 1, To: 9, Server: "a", FormerOwners: []shard.Owner{{Server: "b"}}}}},
		CompletedMoves{}, TopicUpdate{}, AdmissionCheck{}, ViewRequest{}, ViewSnapshot{Maps: map[string][]byte{"s": {1}}}, ServerReport{Servers: []string{"s"}, Work: []uint16{1}},
		IncarnationQuery{Server: "s", Serial: 1}, IncarnationAnswer{Server: "s", Serial: 1},
		CrashQuery{Known: 1}, CrashHistory{Reports: []CrashReport{{Fingerprint: 1, Server: "s"}}, AgesMs: []int{1}},
	} {
		if data, err := Encode(m); err == nil {
			f.Add(data)
		}
	}
	f.Add([]byte{1, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err == nil && m == nil {
			t.Errorf("Decode(%q) returned neither a message nor an error", data)
		}
	})
}
