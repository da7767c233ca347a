package entry

import (
	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/member"
	"example.org/mustardring/internal/peer"
	"example.org/mustardring/internal/policy"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/grant"
)

// The calls between instances.
const (
	methodHeartbeat peer.Method = "heartbeat"
	methodTable     peer.Method = "table"
	methodExchange  peer.Method = "exchange"
	methodProof     peer.Method = "bundle-proof"
)

// Pulse is a heartbeat, as the parameters and as the result of a call. It carries the sender's
// Heartbeat only to a receiver that lacks it. A result leaves out what its caller can tell.
type Pulse struct {
	// Name and Stated are left out of a result if the caller knows the sender's Heartbeat.
	Name string `json:"name,omitempty"`
	// Count grows with each pulse of the process.
	Count uint64 `json:"count"`
	// Stated identifies the sender's Heartbeat.
	Stated uint64 `json:"stated,omitempty"`
	// Knows identifies the receiver's Heartbeat as the sender has it, zero for none. It is left
	// out of a result if that is the one that the caller stated.
	Knows uint64 `json:"knows,omitempty"`
	// Lacks says in a result that the sender has no Heartbeat of the caller.
	Lacks bool `json:"lacks,omitempty"`
	// Deaf says that the sender does not hear the receiver.
	Deaf      bool                    `json:"deaf,omitempty"`
	Heartbeat *Heartbeat              `json:"heartbeat,omitempty"`
	Hearsay   []member.HeartbeatCount `json:"hearsay,omitempty"`
}

// Heartbeat is what an instance says of itself.
type Heartbeat struct {
	Name           string `json:"name"`
	Domain         string `json:"domain"`
	Incarnation    uint64 `json:"incarnation"`
	PeerAddress    string `json:"peer-address"`
	ForwardAddress string `json:"forward-address"`
	// Leading says that the instance leads its domain in Term, the highest term it knows.
	Leading bool       `json:"leading,omitempty"`
	Term    grant.Term `json:"term"`
	// Stopping says that the instance takes no new duties.
	Stopping bool `json:"stopping,omitempty"`
	// BundleVersion is the version in force at the instance, zero for none.
	BundleVersion uint64 `json:"bundle-version"`
	// TableTerm and TableSerial identify the newest routing table of the instance's domain.
	TableTerm   grant.Term `json:"table-term"`
	TableSerial uint64     `json:"table-serial"`
	// Blocks are requests that may crash servers.
	Blocks []policy.CrashRecord `json:"blocks,omitempty"`
}

// TablePush hands over a routing table. A nil table in a result says that there is none.
type TablePush struct {
	Table *route.Table `json:"table"`
}

// ProofFetch asks for the bundle in force. Have is the version that the caller holds.
type ProofFetch struct {
	Have uint64 `json:"have"`
}

// ProofPush hands over a bundle in force with the signatures that prove it, and the homes
// that the instance last read. The homes count only within a failure domain, whose instances
// authenticate each other.
type ProofPush struct {
	Proof bundle.Proof `json:"proof"`
	// Update stands in place of Proof if the caller holds the version before.
	Update *bundle.Update     `json:"update,omitempty"`
	Homes  []fold.DomainHomes `json:"homes,omitempty"`
}

// Done is the result of a call that returns nothing.
type Done struct{}

// ExchangeCall carries an exchange to the instance that holds the grant of a server.
type ExchangeCall struct {
	Exchange grant.Exchange `json:"exchange"`
}

// ExchangeResult is the answer of the holder.
type ExchangeResult struct {
	Answer grant.Answer `json:"answer"`
}
