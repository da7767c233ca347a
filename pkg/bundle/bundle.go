// Package bundle is the format of the signed, versioned configuration by which operators
// drive mustardring.
package bundle

import "example.org/mustardring/pkg/keys"

// FormatVersion is the version of the bundle format that this package reads and writes.
const FormatVersion = 1

// Bundle is one version of the configuration.
type Bundle struct {
	Format  int    `json:"format"`
	Version uint64 `json:"version"`
	// Follows is the newest published version when this one was written. Version is one
	// more.
	Follows   uint64     `json:"follows"`
	Signers   []Signer   `json:"signers"`
	Domains   []Domain   `json:"domains"`
	Services  []Service  `json:"services"`
	Lifted    []string   `json:"lifted-blocks,omitempty"`
	Instances []Instance `json:"instances,omitempty"`
}

// Role is what the holder of a signing key may do.
type Role string

// The roles.
const (
	RolePublish Role = "publish"
	RoleApprove Role = "approve"
	RoleRoll    Role = "roll"
)

// Signer is a key that may sign statements about bundles.
type Signer struct {
	Name string `json:"name"`
	// PublicKey is an ed25519 public key, base64 in JSON.
	PublicKey []byte `json:"public-key"`
	Roles     []Role `json:"roles"`
	Revoked   bool   `json:"revoked,omitempty"`
}

// Domain is a failure domain.
type Domain struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
}

// Instance is an entry instance that operators know of in advance. Others join through the
// platform's list.
type Instance struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
}

// Isolation says what becomes of a domain's ranges while the domain is cut off.
type Isolation string

// The isolation rules. IsolationHold is the default.
const (
	IsolationHold Isolation = "hold"
	IsolationMove Isolation = "move"
)

// Service is a set of backend servers that answer the same requests.
type Service struct {
	Name string `json:"name"`
	// Divided says that each key has one owning server. In a service that is not divided any
	// server takes any request.
	Divided   bool      `json:"divided"`
	Isolation Isolation `json:"isolation,omitempty"`
	Homes     []Home    `json:"homes,omitempty"`
	Servers   []Server  `json:"servers"`
	HotKeys   []string  `json:"hot-keys,omitempty"`
	Weights   Weights   `json:"weights"`
	Limits    Limits    `json:"limits"`
	// Load is stated so that Check can compare it with the slots. Its zero value states none.
	Load Load `json:"load,omitzero"`
	// MoveShare is the share of the keys that one version may move without an explicit flag,
	// from 0 to 1. Zero stands for DefaultMoveShare.
	MoveShare float64 `json:"move-share,omitempty"`
}

// DefaultMoveShare is the MoveShare of a service that states none.
const DefaultMoveShare = 0.25

// Home gives a part of the hash space to a failure domain. Shares of all homes of a service
// divide the space in the order in which they stand. A service without homes is divided
// between domains by the slots of their servers.
type Home struct {
	Domain string `json:"domain"`
	// Share is relative to the sum of the shares.
	Share int `json:"share"`
	// Ranges, if any home of the service has them, are the parts themselves. The homes then
	// cover the space exactly, and shares are only what operators aim at. Command plan
	// proposes the ranges that move the fewest keys when shares change.
	Ranges []keys.Range `json:"ranges,omitempty"`
}

// Load is what operators expect a service to carry at its busiest.
type Load struct {
	// PerSecond is the rate of requests.
	PerSecond float64 `json:"per-second"`
	// RunMillis is the mean time for which a request holds a slot, in milliseconds.
	RunMillis float64 `json:"run-ms"`
}

// Slots is the number of slots that the load keeps busy on average.
func (l Load) Slots() float64 {
	return l.PerSecond * l.RunMillis / 1000
}

// Server is a backend server.
type Server struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// ChecksGrants says that the server obeys package grant. Unstated means it does not.
	ChecksGrants bool `json:"checks-grants,omitempty"`
	// Slots is the number of requests that the server runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the server accepts from all instances.
	Connections int  `json:"connections"`
	Leaving     bool `json:"leaving,omitempty"`
}

// Weights weigh the three measures against each other in placement.
type Weights struct {
	Imbalance   float64 `json:"imbalance"`
	Churn       float64 `json:"churn"`
	Unavailable float64 `json:"unavailable"`
}

// Limits bound what one service takes from callers.
type Limits struct {
	// Queue is the number of requests that may wait for a slot of one server.
	Queue int `json:"queue"`
	// BodyBytes is the largest request body.
	BodyBytes int64 `json:"body-bytes"`
	// RequestMillis bounds the deadline of a request that states none, in milliseconds.
	RequestMillis int64 `json:"request-ms"`
	// CrashServers is the number of lost servers after which a request is blocked.
	CrashServers int `json:"crash-servers"`
	// BlockMillis is for how long such a request stays blocked, in milliseconds.
	BlockMillis int64 `json:"block-ms"`
	// ColdStartMillis is for how long a server that has just started is given less, in
	// milliseconds. Zero means that it starts warm.
	ColdStartMillis int64 `json:"cold-start-ms,omitempty"`
}

// Signed is a bundle in its canonical form with the publisher's signature.
type Signed struct {
	// Canonical is the canonical JSON form of the Bundle.
	Canonical []byte    `json:"canonical"`
	Statement Statement `json:"statement"`
}

// Statement is a signed sentence of a signer about one version of the bundle.
type Statement struct {
	Role    Role   `json:"role"`
	Version uint64 `json:"version"`
	// Follows is the version that the bundle follows. In a roll it is the version in force
	// that the roll replaces.
	Follows uint64 `json:"follows"`
	// Hash is the SHA-256 of the canonical form.
	Hash []byte `json:"hash"`
	// Signers is the SHA-256 of the canonical form of the signers that the version names, so
	// that a change of signers can be proved without the whole bundle.
	Signers   []byte `json:"signers"`
	Signer    string `json:"signer"`
	Signature []byte `json:"signature"`
}
