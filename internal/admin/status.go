package admin

import (
	"example.org/mustardring/internal/front"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// Status is what an instance says of itself.
type Status struct {
	Instance      string     `json:"instance"`
	Domain        string     `json:"domain"`
	Incarnation   uint64     `json:"incarnation"`
	Leading       bool       `json:"leading"`
	Term          grant.Term `json:"term"`
	BundleVersion uint64     `json:"bundle-version"`
	NextLogOffset uint64     `json:"log-next"`
	TableTerm     grant.Term `json:"table-term"`
	TableSerial   uint64     `json:"table-serial"`
	Ranges        int        `json:"ranges"`
	// OwnedShare is the least share, over the divided services, of the domain's homes by the bundle
	// that has an owner; 1 when nothing is unavailable, 0 without a table.
	OwnedShare  float64         `json:"owned"`
	Provisional int             `json:"provisional"`
	Members     []route.Member  `json:"members"`
	Domains     []DomainVersion `json:"domains"`
	Stopping    bool            `json:"stopping"`
	// Services is the request path of this instance: waiting requests, slots, connections and
	// the requests that are blocked because they may crash servers.
	Services []front.ServiceStatus `json:"services"`
}

// DomainVersion is the lowest and highest bundle version in force at the instances of a
// domain, as far as they were heard.
type DomainVersion struct {
	Domain  string `json:"domain"`
	Lowest  uint64 `json:"lowest"`
	Highest uint64 `json:"highest"`
}

// Ownership says where requests for a key go.
type Ownership struct {
	Service string     `json:"service"`
	Key     string     `json:"key"`
	Hash    string     `json:"hash"`
	Home    string     `json:"home"`
	Range   keys.Range `json:"range"`
	Server  string     `json:"server"`
	// Offset is the log offset of the assignment; zero while it is provisional.
	Offset uint64      `json:"offset"`
	Epoch  grant.Epoch `json:"epoch"`
	Gate   string      `json:"gate"`
}

// Assignment is a recorded assignment of one server.
type Assignment struct {
	Domain      string       `json:"domain"`
	Service     string       `json:"service"`
	Server      string       `json:"server"`
	Epoch       grant.Epoch  `json:"epoch"`
	Offset      uint64       `json:"offset"`
	Provisional bool         `json:"provisional"`
	Ranges      []keys.Range `json:"ranges"`
}
