package gram

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

const (
	// minDeflateSize is the size of a datagram from which on it is compressed. Large ones name the same servers
	// and addresses many times; uncompressed, the record of a plan that replaces some hundred servers does not
	// fit into a datagram, and nobody hears of it.
	minDeflateSize = 2 << 10
	// maxInflatedSize bounds what a compressed datagram may hold.
	maxInflatedSize = 1 << 20
	// kindDeflated marks a compressed datagram.
	kindDeflated = 16
)

// deflate compresses a datagram if it is large.
func deflate(data []byte) ([]byte, error) {
	if len(data) < minDeflateSize {
		return data, nil
	}
	var out bytes.Buffer
	out.WriteByte(kindDeflated)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// inflate returns the datagram that a compressed one holds, without its mark.
func inflate(body []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxInflatedSize+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if len(data) > maxInflatedSize || len(data) > 0 && data[0] == kindDeflated {
		return nil, ErrMessage
	}
	return data, nil
}
