package config

// Serve is the settings of an instance on the users' platform.
type Serve struct {
	// Name is the instance's name, Domain its failure domain.
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// IP is the address for what instances say to one another.
	IP string `json:"ip"`
	// CallerAddress is the address for callers, Ready the one that the platform's balancer asks.
	CallerAddress    string `json:"front"`
	ReadinessAddress string `json:"ready"`
	// PeerPorts is the first and the last port for what instances say to one another.
	PeerPorts   []int `json:"peer-ports"`
	MetricsPort int   `json:"metrics-port"`
	// StoreAddress is the address of the shared store.
	StoreAddress string `json:"store"`
	// EntrySeconds is how often a backend server writes its entry; zero means once a second.
	EntrySeconds float64 `json:"entry-seconds"`
	// CPUShare is the part of a core that the instance has, LinkMbps the speed of its link,
	// MemoryMB its memory.
	CPUShare float64 `json:"cpu-share"`
	LinkMbps float64 `json:"link-mbps"`
	MemoryMB int     `json:"memory-mb"`
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool   `json:"first-start"`
	Bounds     Bounds `json:"bounds"`
}

// Bounds are what the users demand.
type Bounds struct {
	// DrainSeconds is how long after its leaving is known a server may still get requests.
	DrainSeconds float64 `json:"drain-seconds"`
	// ConfigSeconds is how long after its acknowledgement a configuration must be in force
	// everywhere; zero means as long as DrainSeconds.
	ConfigSeconds float64 `json:"config-seconds"`
	// EvacuationSeconds is how long after the evacuation of their failure domain is known servers may still get requests;
	// zero means as long as DrainSeconds.
	EvacuationSeconds float64 `json:"evacuation-seconds"`
	// StopSeconds is how long an instance may take to stop.
	StopSeconds float64 `json:"stop-seconds"`
	// All instances together may send RetryRatio of the requests in RetryWindowSeconds a second
	// time, and RetrySlack more.
	RetryRatio         float64 `json:"retry-ratio"`
	RetryWindowSeconds float64 `json:"retry-window-seconds"`
	RetrySlack         float64 `json:"retry-slack"`
}

// Check implements Checker.
func (s *Serve) Check(file string) error {
	c := checks{file: file}
	c.need("name", s.Name)
	c.need("domain", s.Domain)
	c.address("front", s.CallerAddress)
	c.address("ready", s.ReadinessAddress)
	c.address("store", s.StoreAddress)
	if len(s.PeerPorts) != 2 || s.PeerPorts[0] <= 0 || s.PeerPorts[1] < s.PeerPorts[0] {
		c.fail("peer-ports", "no range of ports", "give the first and the last port, such as [7200, 7215]")
	}
	for field, value := range map[string]float64{
		"cpu-share": s.CPUShare, "link-mbps": s.LinkMbps, "memory-mb": float64(s.MemoryMB),
		"bounds.drain-seconds": s.Bounds.DrainSeconds, "bounds.stop-seconds": s.Bounds.StopSeconds,
		"bounds.retry-window-seconds": s.Bounds.RetryWindowSeconds,
	} {
		if value <= 0 {
			c.fail(field, "nothing or less", "give a number above zero")
		}
	}
	return c.first()
}
