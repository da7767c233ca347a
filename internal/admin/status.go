package admin

import (
	"example.org/mustardring/internal/front"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// Status is the status of one instance, as this instance sees itself and its domain.
type Status struct {
	Instance    string `json:"instance"`
	Domain      string `json:"domain"`
	Incarnation uint64 `json:"incarnation"`
	// Leading says that the instance leads its domain in Term, the highest term it knows.
	Leading bool       `json:"leading"`
	Term    grant.Term `json:"term"`
	// BundleVersion is the version of the bundle in force, zero for none.
	BundleVersion uint64 `json:"bundle-version"`
	// NextLogOffset is the offset of the log entry that is read next, zero before the first read.
	NextLogOffset uint64 `json:"log-next"`
	// TableTerm and TableSerial identify the routing table of the domain, and Ranges is the
	// number of its ranges. All are zero without a table.
	TableTerm   grant.Term `json:"table-term"`
	TableSerial uint64     `json:"table-serial"`
	Ranges      int        `json:"ranges"`
	// OwnedShare is how much of the ranges that the bundle assigns to the domain has an owner. Of
	// several divided services the lowest share counts. It is 1 when no key is unavailable, and 0
	// without a table.
	OwnedShare float64 `json:"owned"`
	// Provisional is the number of ranges whose assignment is not yet in the log.
	Provisional int `json:"provisional"`
	// Members are the live instances of all domains, including this one.
	Members []route.Member  `json:"members"`
	Domains []DomainVersion `json:"domains"`
	// Stopping says that the instance is about to stop, or was removed from the platform's list.
	Stopping bool `json:"stopping"`
	// Services describes the request path of this instance: queued requests, slots, connections
	// and the requests that are blocked because they may crash servers.
	Services []front.ServiceStatus `json:"services"`
}

// DomainVersion is the lowest and highest bundle version in force at the live instances of a domain.
type DomainVersion struct {
	Domain  string `json:"domain"`
	Lowest  uint64 `json:"lowest"`
	Highest uint64 `json:"highest"`
}

// Ownership says where requests for a key go. Server, Range, Offset, Epoch and Gate are empty unless
// the key has an owner in the domain of the instance that answers.
type Ownership struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	// Hash is the hash of the key in hexadecimal.
	Hash string `json:"hash"`
	// Home is the failure domain that serves the key.
	Home string `json:"home"`
	// Range is the range of key hashes that Server owns.
	Range  keys.Range `json:"range"`
	Server string     `json:"server"`
	// Offset is the log offset of the assignment, zero while it is provisional.
	Offset uint64      `json:"offset"`
	Epoch  grant.Epoch `json:"epoch"`
	// Gate is the instance through which all requests to Server pass.
	Gate string `json:"gate"`
}

// Assignment is the assignment of ranges to one server, as recorded in the log.
type Assignment struct {
	Domain  string      `json:"domain"`
	Service string      `json:"service"`
	Server  string      `json:"server"`
	Epoch   grant.Epoch `json:"epoch"`
	Offset  uint64      `json:"offset"`
	// Provisional says that the assignment was made while the log was unavailable.
	Provisional bool         `json:"provisional"`
	Ranges      []keys.Range `json:"ranges"`
}
