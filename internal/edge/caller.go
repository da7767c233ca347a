package edge

import (
	"encoding/binary"
	"net"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// Identity says what tells callers apart: AnyCaller, CallerAddress or CallerHeader.
type Identity interface{ identity() }

type (
	// AnyCaller takes all requests for those of one caller.
	AnyCaller struct{}
	// CallerAddress identifies a caller by the IP address of its connection.
	CallerAddress struct{}
	// CallerHeader identifies a caller by a request header. Requests without it belong to one caller.
	CallerHeader struct{ Name string }
)

func (AnyCaller) identity()     {}
func (CallerAddress) identity() {}
func (CallerHeader) identity()  {}

// The digests that stand for no identity. Zero is that of requests whose instance does not tell callers apart, such as one of
// the previous release, and counts for as many callers as are known. A caller that could get it by hiding its identity would
// gain, so that the requests without an identity at an instance which wants one count for one caller, unidentified.
const (
	anyCaller    = 0
	unidentified = 1
)

// callerOf returns a digest of the identity of the caller of a request.
func callerOf(id Identity, r *http.Request) uint32 {
	text := ""
	switch id := id.(type) {
	case CallerAddress:
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil {
			return unidentified
		}
		text = host
	case CallerHeader:
		text = r.Header.Get(id.Name)
	case AnyCaller, nil:
		return anyCaller
	}
	if text == "" {
		return unidentified
	}
	return max(uint32(xxhash.Sum64String(text)), unidentified+1)
}

// originOf returns a digest of a caller, the key and the fingerprint of its request, which recognizes a request that the caller
// sends again, zero if the caller is not known.
func originOf(caller uint32, key uint16, print uint64) uint64 {
	if caller <= unidentified {
		return 0
	}
	var data [14]byte
	binary.BigEndian.PutUint32(data[:4], caller)
	binary.BigEndian.PutUint16(data[4:6], key)
	binary.BigEndian.PutUint64(data[6:], print)
	return max(xxhash.Sum64(data[:]), 1)
}
