package dgram

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

const (
	// minDeflateSize is the size in bytes from which on datagrams are compressed. Large messages repeat the same
	// servers and addresses; uncompressed, the record of a plan that replaces some hundred servers does not
	// fit into a datagram, and no instance receives it.
	minDeflateSize = 2 << 10
	// maxInflatedSize is the maximum size of a decompressed datagram in bytes.
	maxInflatedSize = 1 << 20
	// kindDeflated is the first byte of a compressed datagram, in place of the kind of a message.
	kindDeflated = 16
)

// deflate compresses a datagram of at least minDeflateSize and returns others unchanged.
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

// inflate decompresses a datagram, given without its first byte. It rejects nested compression.
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
