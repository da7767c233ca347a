// Package bundle defines the format of the bundle, the signed and versioned configuration of
// mustardring. It validates, signs, verifies and compares bundles and encodes changes.
package bundle

import "example.org/mustardring/pkg/keys"

// FormatVersion is the version of the bundle format that this package reads and writes.
const FormatVersion = 1

// Bundle is one version of the configuration.
type Bundle struct {
	// Format is the version of the bundle format: see FormatVersion.
	Format  int    `json:"format"`
	Version uint64 `json:"version"`
	// Follows is the version that was the newest published one when this version was written.
	// Version must be Follows+1.
	Follows  uint64    `json:"follows"`
	Signers  []Signer  `json:"signers"`
	Domains  []Domain  `json:"domains"`
	Services []Service `json:"services"`
	// Lifted lists fingerprints of requests that are no longer blocked for crashing servers.
	Lifted    []string   `json:"lifted-blocks,omitempty"`
	Instances []Instance `json:"instances,omitempty"`
}

// Role is the kind of statement that a signer may sign.
type Role string

// The roles.
const (
	// RolePublish signs new bundles.
	RolePublish Role = "publish"
	// RoleApprove signs approvals of bundles that another signer published.
	RoleApprove Role = "approve"
	// RoleRoll signs the roll, which puts an approved bundle in force.
	RoleRoll Role = "roll"
)

// Signer is a key that may sign statements about bundles.
type Signer struct {
	Name string `json:"name"`
	// PublicKey is an Ed25519 public key, encoded as base64 in JSON.
	PublicKey []byte `json:"public-key"`
	Roles     []Role `json:"roles"`
	Revoked   bool   `json:"revoked,omitempty"`
}

// Domain is a failure domain.
type Domain struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
}

// Instance is an entry instance that operators configure. Other instances join through the
// instance list of the platform.
type Instance struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
}

// Isolation is what happens to the ranges of a domain while the other domains can't reach it.
type Isolation string

// The isolation rules. IsolationHold is the default.
const (
	// IsolationHold leaves the ranges with the unreachable domain.
	IsolationHold Isolation = "hold"
	// IsolationMove lets other domains take over the ranges.
	IsolationMove Isolation = "move"
)

// Service is a set of backend servers that run the same kind of requests.
type Service struct {
	Name string `json:"name"`
	// Divided means that each key is owned by one server. In a service that is not divided, any
	// server runs any request.
	Divided   bool      `json:"divided"`
	Isolation Isolation `json:"isolation,omitempty"`
	Homes     []Home    `json:"homes,omitempty"`
	Servers   []Server  `json:"servers"`
	HotKeys   []string  `json:"hot-keys,omitempty"`
	Weights   Weights   `json:"weights"`
	Limits    Limits    `json:"limits"`
	// Load is the expected load, which package check compares with the slots. The zero value
	// means that it is not known.
	Load Load `json:"load,omitzero"`
	// MoveShare is the share of the keys, from 0 to 1, that a new version may move unless the
	// operator allows more by a flag. Zero means DefaultMoveShare.
	MoveShare float64 `json:"move-share,omitempty"`
}

// DefaultMoveShare is used for services whose MoveShare is zero.
const DefaultMoveShare = 0.25

// Home assigns a part of the hash space of a service to a failure domain. Without Ranges, the
// shares of the homes divide the space in the order of the list. A service without homes is
// divided between the domains by the slots of their servers.
type Home struct {
	Domain string `json:"domain"`
	// Share is the weight of this home relative to the sum over all homes of the service.
	Share int `json:"share"`
	// Ranges states the part itself. If any home of the service has ranges, those of all homes
	// together must cover the space exactly once. The shares are then only the target from
	// which the command "bundle plan" computes ranges that move the fewest keys.
	Ranges []keys.Range `json:"ranges,omitempty"`
}

// Load is the load of a service that operators expect at peak times.
type Load struct {
	// PerSecond is the number of requests per second.
	PerSecond float64 `json:"per-second"`
	// RunMillis is the mean time for which a request occupies a slot, in milliseconds.
	RunMillis float64 `json:"run-ms"`
}

// Slots returns the mean number of slots that the load occupies.
func (l Load) Slots() float64 {
	return l.PerSecond * l.RunMillis / 1000
}

// Server is a backend server.
type Server struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// ChecksGrants means that the server implements the protocol of package grant and rejects
	// requests that its grant does not cover.
	ChecksGrants bool `json:"checks-grants,omitempty"`
	// Slots is the number of requests that the server runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the server accepts from all instances
	// together.
	Connections int `json:"connections"`
	// Leaving means that the server is to be removed and gets no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Weights are the relative costs that placement minimizes.
type Weights struct {
	// Imbalance is the weight of uneven load on the servers.
	Imbalance float64 `json:"imbalance"`
	// Churn is the weight of keys that move between servers.
	Churn float64 `json:"churn"`
	// Unavailable is the weight of the time for which moving keys are not served.
	Unavailable float64 `json:"unavailable"`
}

// Limits are the limits of one service.
type Limits struct {
	// Queue is the number of requests that may wait for a slot of one server.
	Queue int `json:"queue"`
	// BodyBytes is the size of the largest request body, in bytes.
	BodyBytes int64 `json:"body-bytes"`
	// RequestMillis is the longest time to the deadline of a request, in milliseconds. Requests
	// without a deadline get this one.
	RequestMillis int64 `json:"request-ms"`
	// CrashServers is the number of servers that must be lost while running the same request
	// for that request to be blocked.
	CrashServers int `json:"crash-servers"`
	// BlockMillis is how long a request stays blocked, in milliseconds.
	BlockMillis int64 `json:"block-ms"`
	// ColdStartMillis is how long a newly started server counts as cold and gets less load, in
	// milliseconds. Zero means that servers are warm from the start.
	ColdStartMillis int64 `json:"cold-start-ms,omitempty"`
}

// Signed is a bundle in canonical form with the signed statement of its publisher.
type Signed struct {
	// Canonical is the canonical JSON form of the Bundle.
	Canonical []byte    `json:"canonical"`
	Statement Statement `json:"statement"`
}

// Statement is the signed publication, approval or roll of one version of the bundle.
type Statement struct {
	Role    Role   `json:"role"`
	Version uint64 `json:"version"`
	// Follows is Bundle.Follows in a publication or an approval. In a roll it is the version in
	// force that the roll replaces, or zero.
	Follows uint64 `json:"follows"`
	// Hash is the SHA-256 of the canonical form of the bundle.
	Hash []byte `json:"hash"`
	// Signers is the SHA-256 of the canonical form of the bundle's signers, so that a change
	// of signers can be proved without the whole bundle.
	Signers []byte `json:"signers"`
	// Signer is the name of the signer of this statement.
	Signer    string `json:"signer"`
	Signature []byte `json:"signature"`
}
