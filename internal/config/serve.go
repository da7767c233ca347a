package config

// Serve holds the settings of an instance on the users' platform, for the command "serve". The
// platform writes the file.
type Serve struct {
	// Name is the name of the instance. Domain is its failure domain.
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// IP is the address for messages between instances and for metrics.
	IP string `json:"ip"`
	// CallerAddress is where the instance listens for requests of callers. ReadinessAddress is where
	// it answers the readiness checks of the platform's load balancer.
	CallerAddress    string `json:"front"`
	ReadinessAddress string `json:"ready"`
	// PeerPorts are the first and the last port for messages between instances.
	PeerPorts []int `json:"peer-ports"`
	// MetricsPort is the port at which metrics are served.
	MetricsPort int `json:"metrics-port"`
	// ControlAddress is where the instance answers others that start, empty if it does not. Seeds holds up to three
	// such addresses of instances that may be running.
	ControlAddress string   `json:"control"`
	Seeds          []string `json:"seeds"`
	// StoreAddress is the address of the shared store.
	StoreAddress string `json:"store"`
	// EntrySeconds is the interval at which a backend server writes its entry to the store, in
	// seconds. Zero means one second.
	EntrySeconds float64 `json:"entry-seconds"`
	// CPUShare is the part of a core that the instance may use, LinkMbps the speed of its network
	// link in megabits per second, and MemoryMB its memory in mebibytes.
	CPUShare float64 `json:"cpu-share"`
	LinkMbps float64 `json:"link-mbps"`
	MemoryMB int     `json:"memory-mb"`
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool   `json:"first-start"`
	Bounds     Bounds `json:"bounds"`
	// ShareConnections lets requests go over connections of the instances that admitted them. No setting enables it yet.
	ShareConnections bool `json:"-"`
}

// Bounds are the limits that the users of the system require of it.
type Bounds struct {
	// DrainSeconds is how long a server may still get requests after it is known that it leaves.
	DrainSeconds float64 `json:"drain-seconds"`
	// ConfigSeconds is how long after its acknowledgement a configuration must be in force on all
	// instances. Zero means DrainSeconds.
	ConfigSeconds float64 `json:"config-seconds"`
	// EvacuationSeconds is how long servers may still get requests after it is known that their
	// failure domain is evacuated. Zero means DrainSeconds.
	EvacuationSeconds float64 `json:"evacuation-seconds"`
	// StopSeconds is how long an instance may take to stop.
	StopSeconds float64 `json:"stop-seconds"`
	// RetryRatio and RetrySlack bound the retries of all instances together: in any
	// RetryWindowSeconds, at most RetryRatio times the number of requests, plus RetrySlack.
	RetryRatio         float64 `json:"retry-ratio"`
	RetryWindowSeconds float64 `json:"retry-window-seconds"`
	RetrySlack         float64 `json:"retry-slack"`
}

// Check implements Checker. If several numbers are not positive, it returns the fault of any one of
// them.
func (s *Serve) Check(file string) error {
	c := checks{file: file}
	c.required("name", s.Name)
	c.required("domain", s.Domain)
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
			c.fail(field, "no number above zero", "give a number above zero")
		}
	}
	return c.err()
}
