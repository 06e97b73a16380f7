// Package settings reads and checks the JSON settings of a node.
package settings

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"siskingw/errdefs"
)

// Settings configures one node. Every address is an IP address with a port.
type Settings struct {
	ID            string `json:"id"`            // unique in the fleet
	Region        string `json:"region"`        // region of the instance
	FailureDomain string `json:"failureDomain"` // failure domain of the instance

	Listen    Listen    `json:"listen"`
	Advertise Advertise `json:"advertise"`
	DialFrom  string    `json:"dialFrom,omitempty"` // local IP address of connections to other nodes; empty lets the system choose
	Target    *Target   `json:"target,omitempty"`   // absent on a node without a target
	Store     Store     `json:"store"`
	Seeds     []Seed    `json:"seeds"`
	Log       Log       `json:"log"`
	Trace     Trace     `json:"trace"`
	Stop      Stop      `json:"stop"`
	Platform  *Platform `json:"platform,omitempty"` // absent on a node that runs outside of the users' platform
}

// Listen holds the addresses that the node listens on.
type Listen struct {
	Outbound string `json:"outbound"` // calls of this instance to services
	Inbound  string `json:"inbound"`  // calls from other nodes to this instance's target
	Peer     string `json:"peer"`     // gRPC between nodes
	Admin    string `json:"admin"`    // operators, metrics and health
	// Metrics is a further address of the metrics alone, for collectors that must
	// not reach the operators' interface; empty for none.
	Metrics string `json:"metrics,omitempty"`
}

// Advertise holds the addresses under which other nodes reach this one.
// Empty addresses mean those of Listen.
type Advertise struct {
	Inbound string `json:"inbound,omitempty"`
	Peer    string `json:"peer,omitempty"`
}

// Target describes the target of this instance.
type Target struct {
	Service     string `json:"service"`               // announced service name
	Address     string `json:"address"`               // host:port of the target
	Slots       int    `json:"slots"`                 // calls that the target runs at once
	Connections int    `json:"connections,omitempty"` // connections that the target accepts, default 128
	QueueLength int    `json:"queueLength,omitempty"` // calls that wait for a slot, default four for each slot
	QueueMs     int    `json:"queueMs,omitempty"`     // longest wait for a slot, default 100 ms
}

// Store locates the platform's store.
type Store struct {
	Endpoint string `json:"endpoint"` // host:port of the etcd v3 gRPC API
	Region   string `json:"region"`   // the region whose relays read the store
}

// Seed is a node that may be asked for membership and configuration at start.
type Seed struct {
	Address       string `json:"address"` // host:port of the peer listener
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
}

// Platform configures a node on the users' platform: the target announces
// itself, operators publish in the platform's store, and callers and the target
// use the platform's headers. Store.Endpoint is then that of this store.
type Platform struct {
	Control string `json:"control"` // listener for announcements of this instance's target
	Ready   string `json:"ready"`   // listener for the platform's readiness checks
	Service string `json:"service"` // service on this instance, as targets are told of its callers
	// TargetAddress is the address at which a starting node looks for the target
	// of this instance; empty on an instance without one.
	TargetAddress string `json:"targetAddress,omitempty"`
	// SeedHosts are addresses of other nodes at start. Their ports are not used:
	// all nodes have the same peer port.
	SeedHosts []string `json:"seedHosts,omitempty"`

	HeartbeatMs  int     `json:"heartbeatMs"`  // between announcements of a target
	DrainMs      int     `json:"drainMs"`      // after which a leaving target must get no new work
	GraceS       float64 `json:"graceS"`       // from SIGTERM to SIGKILL
	RetryRatio   float64 `json:"retryRatio"`   // repeats for each call, over the whole fleet
	RetrySlack   int     `json:"retrySlack"`   // repeats beyond that in RetryWindowS, over the whole fleet
	RetryWindowS float64 `json:"retryWindowS"` // window of the two limits
	MemoryMB     int     `json:"memoryMB"`     // memory of the process
	MaxFiles     int     `json:"maxFiles"`     // file descriptors of the process
	LinkMbps     float64 `json:"linkMbps"`     // rate of the instance's link, Mbit/s
}

// Heartbeat returns the time between announcements of a target.
func (p *Platform) Heartbeat() time.Duration { return time.Duration(p.HeartbeatMs) * time.Millisecond }

// Grace returns the time from SIGTERM to SIGKILL.
func (p *Platform) Grace() time.Duration { return time.Duration(p.GraceS * float64(time.Second)) }

// Log configures the log.
type Log struct {
	Verbosity int `json:"verbosity"` // 0 to 2
}

// Trace configures traces.
type Trace struct {
	SampleRatio float64 `json:"sampleRatio"`        // 0 to 1, default 0
	Endpoint    string  `json:"endpoint,omitempty"` // OTLP gRPC collector; empty: standard error
}

// Stop configures the graceful stop.
type Stop struct {
	DrainMs int `json:"drainMs,omitempty"` // longest wait for work in flight, default 30,000 ms
}

// DrainTimeout returns the longest wait for work in flight.
func (s Stop) DrainTimeout() time.Duration { return time.Duration(s.DrainMs) * time.Millisecond }

// Defaults of optional settings.
const (
	defaultConnections  = 128
	defaultQueuePerSlot = 4
	defaultQueueMs      = 100
	defaultDrainMs      = 30_000
)

// Load reads the file at path, fills in the defaults and checks the result.
// It returns one Invalid error that lists every fault.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errdefs.Invalid.Wrap(err, "settings file %q cannot be read", path)
	}
	s, err := Parse(b)
	if err != nil {
		return nil, errdefs.Invalid.Wrap(err, "settings file %q", path)
	}
	return s, nil
}

// Parse reads settings from JSON, fills in the defaults and checks the result.
func Parse(b []byte) (*Settings, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	s := new(Settings)
	if err := d.Decode(s); err != nil {
		return nil, errdefs.Invalid.Wrap(err, "settings are not valid JSON")
	}
	if d.More() {
		return nil, errdefs.Invalid.New("settings have content after the JSON object")
	}
	s.fillDefaults()
	return s, s.check()
}

func (s *Settings) fillDefaults() {
	if s.Advertise.Inbound == "" {
		s.Advertise.Inbound = s.Listen.Inbound
	}
	if s.Advertise.Peer == "" {
		s.Advertise.Peer = s.Listen.Peer
	}
	if s.Store.Region == "" {
		s.Store.Region = s.Region
	}
	if s.Stop.DrainMs == 0 {
		s.Stop.DrainMs = defaultDrainMs
	}
	if t := s.Target; t != nil {
		t.fillDefaults()
	}
	if s.Platform != nil {
		s.addSeedHosts()
	}
}

// addSeedHosts adds the platform's seeds with the peer port of this node. Where
// they run is not known.
func (s *Settings) addSeedHosts() {
	own, err := netip.ParseAddrPort(s.Advertise.Peer)
	if err != nil {
		return // reported by check
	}
	for _, host := range s.Platform.SeedHosts {
		if seed, err := netip.ParseAddrPort(host); err == nil {
			s.Seeds = append(s.Seeds, Seed{Address: netip.AddrPortFrom(seed.Addr(), own.Port()).String()})
		}
	}
}

func (t *Target) fillDefaults() {
	if t.Connections == 0 {
		t.Connections = defaultConnections
	}
	if t.QueueLength == 0 {
		t.QueueLength = defaultQueuePerSlot * t.Slots
	}
	if t.QueueMs == 0 {
		t.QueueMs = defaultQueueMs
	}
}
