package edge

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// CallerNames names callers in the lines of requests by a keyed digest. The digest by which controllers know a caller has no
// key, so that it could be reversed by trying all addresses. Instances share no secret from which a key could be made: each
// process draws its own, and a name is that of the key and of the caller, as callers can be compared under one key only.
type CallerNames struct {
	key  [sha256.Size]byte
	name string
}

// NewCallerNames returns names under a new key.
func NewCallerNames() *CallerNames {
	n := &CallerNames{name: rand.Text()[:keyNameLength]}
	_, _ = rand.Read(n.key[:]) // it never returns an error
	return n
}

// keyNameLength tells the keys of a few thousand processes apart, with five bits a letter.
const keyNameLength = 8

// of returns the name of a caller.
func (n *CallerNames) of(caller uint32) string {
	mac := hmac.New(sha256.New, n.key[:])
	mac.Write(binary.BigEndian.AppendUint32(nil, caller))
	return fmt.Sprintf("%s-%x", n.name, mac.Sum(nil)[:nameBytes])
}

// nameBytes is the length of the name of a caller under a key: no less than that of the digest that it stands for.
const nameBytes = 6
