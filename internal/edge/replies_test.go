package edge_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/edge"
)

// Guards against responses without end that leave no memory for others, and against limits for small ones.
func TestReplyMemoryLeavesRoom(t *testing.T) {
	is := is.New(t)
	const limit = 4 << 20
	m := edge.NewReplyMemory(limit)
	var holders []*io.PipeWriter
	ended := make(chan error, 3)
	for range 3 {
		r, w := io.Pipe()
		holders = append(holders, w)
		go func() {
			_, err := m.ReadAll(r, -1)
			_ = r.CloseWithError(err)
			ended <- err
		}()
	}
	// Each takes what it gets, and is then read no further.
	for _, w := range holders {
		_, err := io.Copy(w, endlessReader{})
		is.True(err != nil)
		is.True(<-ended != nil)
	}
	held, rejected := m.Snapshot()
	is.Equal(held, int64(0))
	is.Equal(rejected, int64(3))

	r, w := io.Pipe()
	go func() {
		_, err := m.ReadAll(r, limit/2) // half of the limit fits once
		ended <- err
	}()
	_, err := w.Write([]byte("x"))
	is.NoErr(err)
	_, err = m.ReadAll(endlessReader{}, limit/2)
	is.True(err != nil)
	small := strings.Repeat("x", 60<<10)
	for _, length := range []int64{-1, int64(len(small))} {
		data, err := m.ReadAll(strings.NewReader(small), length)
		is.NoErr(err)
		is.True(string(data) == small)
	}
	middle := bytes.Repeat([]byte("x"), limit/8)
	data, err := m.ReadAll(bytes.NewReader(middle), -1)
	is.NoErr(err)
	is.Equal(len(data), len(middle))
	is.NoErr(w.Close())
	is.NoErr(<-ended)
}

// endlessReader is a body without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return copy(p, "xxxxxxxx"), nil }
