// Package settings parses and checks the JSON settings of a node.
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
	DialFrom  string    `json:"dialFrom,omitempty"` // local IP address for dialing nodes; empty lets the system choose
	Target    *Target   `json:"target,omitempty"`   // absent on a node without a target
	Store     Store     `json:"store"`
	Seeds     []Seed    `json:"seeds"`
	Log       Log       `json:"log"`
	Trace     Trace     `json:"trace"`
	Stop      Stop      `json:"stop"`
	Limits    Limits    `json:"limits,omitzero"`
	Balance   Balance   `json:"balance,omitzero"`
	Platform  *Platform `json:"platform,omitempty"` // absent on a node outside the users' platform
}

// Listen holds the addresses that the node listens on.
type Listen struct {
	Outbound string `json:"outbound"` // calls from this instance to services
	Inbound  string `json:"inbound"`  // calls from other nodes to this instance's target
	Peer     string `json:"peer"`     // gRPC between nodes
	Admin    string `json:"admin"`    // operators' interface, metrics and health checks
	// Metrics is an additional address that serves the metrics alone, for
	// collectors that must not reach the operators' interface; empty for none.
	Metrics string `json:"metrics,omitempty"`
}

// Advertise holds the addresses at which other nodes reach this node. They
// default to those of Listen.
type Advertise struct {
	Inbound string `json:"inbound,omitempty"`
	Peer    string `json:"peer,omitempty"`
}

// Target describes the target of this instance.
type Target struct {
	Service     string `json:"service"`               // service name that the node announces
	Address     string `json:"address"`               // host:port of the target
	Slots       int    `json:"slots"`                 // concurrent calls that the target runs
	Connections int    `json:"connections,omitempty"` // concurrent connections that the target accepts, default 128
	QueueLength int    `json:"queueLength,omitempty"` // queued calls, default four per slot
	QueueMs     int    `json:"queueMs,omitempty"`     // longest wait in the queue, default 100 ms
}

// Store is the location of the platform's store.
type Store struct {
	Endpoint string `json:"endpoint"` // host:port of the etcd v3 gRPC API
	Region   string `json:"region"`   // region whose relays read the store; defaults to the node's region
}

// Seed is a node from which a starting node gets the membership and the
// configuration.
type Seed struct {
	Address       string `json:"address"` // host:port of the peer listener
	Region        string `json:"region"`  // empty if not known
	FailureDomain string `json:"failureDomain"`
}

// Platform configures a node that runs on the users' platform. There the target
// announces itself to the node, operators publish the configuration in the
// platform's store (at Store.Endpoint), and callers and targets use the platform's
// headers.
type Platform struct {
	Control string `json:"control"` // listen address for announcements of this instance's target
	Ready   string `json:"ready"`   // listen address for the platform's readiness checks
	Service string `json:"service"` // service of this instance, sent to targets as the name of the calling service
	// TargetAddress is the address at which a starting node health-checks the
	// target of this instance; empty on an instance without a target.
	TargetAddress string `json:"targetAddress,omitempty"`
	// SeedHosts are addresses of other nodes that serve as seeds. Their ports are
	// ignored: all nodes have the same peer port.
	SeedHosts []string `json:"seedHosts,omitempty"`

	HeartbeatMs  int     `json:"heartbeatMs"`  // interval between announcements of a target
	DrainMs      int     `json:"drainMs"`      // time after which a draining target must receive no new calls
	GraceS       float64 `json:"graceS"`       // time from SIGTERM to SIGKILL
	RetryRatio   float64 `json:"retryRatio"`   // retries allowed per call, across the fleet
	RetrySlack   float64 `json:"retrySlack"`   // additional retries allowed per RetryWindowS, across the fleet
	RetryWindowS float64 `json:"retryWindowS"` // window of RetryRatio and RetrySlack
	// Quotas of organisations. All are 0 in deployments without quotas.
	QuotaWindowS float64 `json:"quotaWindowS,omitempty"` // window over which an organisation's calls are counted
	QuotaOver    float64 `json:"quotaOver,omitempty"`    // excess over a quota that is tolerated, as a share of it
	QuotaSlack   int     `json:"quotaSlack,omitempty"`   // additional calls tolerated per window

	// CanaryShare is 0 in deployments without roll-outs of target versions.
	CanaryShare float64 `json:"canaryShare,omitempty"` // share of a service's calls, 0..1, that an unproven version may get

	MemoryMB int     `json:"memoryMB"` // memory limit of the process; sets the runtime's soft limit
	MaxFiles int     `json:"maxFiles"` // limit of the process's file descriptors
	LinkMbps float64 `json:"linkMbps"` // bandwidth of the instance's network link, Mbit/s
}

// Heartbeat returns the interval between announcements of a target.
func (p *Platform) Heartbeat() time.Duration { return time.Duration(p.HeartbeatMs) * time.Millisecond }

// Grace returns the time from SIGTERM to SIGKILL.
func (p *Platform) Grace() time.Duration { return time.Duration(p.GraceS * float64(time.Second)) }

// Balance configures what nodes do for an even load of targets besides choosing among
// random candidates.
type Balance struct {
	// RelayNews adds news about other targets of the failure domain to the calls
	// between its nodes and to their responses. Default false.
	RelayNews bool `json:"relayNews,omitempty"`
	// HandOnPercent is the share, in percent, of the calls arriving at a target that
	// its node may refuse, once each, when it is full and the news shows another one
	// with room. Default 0; it needs RelayNews.
	HandOnPercent int `json:"handOnPercent,omitempty"`
}

// Log configures the log.
type Log struct {
	Verbosity int `json:"verbosity"` // 0 to 2
}

// Trace configures tracing.
type Trace struct {
	SampleRatio float64 `json:"sampleRatio"`        // share of new traces that are sampled, 0..1; default 0
	Endpoint    string  `json:"endpoint,omitempty"` // OTLP gRPC collector; empty writes spans to standard error
}

// Stop configures the graceful shutdown.
type Stop struct {
	DrainMs int `json:"drainMs,omitempty"` // longest wait for calls in flight, default 30,000 ms
}

// DrainTimeout returns the longest wait for calls in flight.
func (s Stop) DrainTimeout() time.Duration { return time.Duration(s.DrainMs) * time.Millisecond }

// Defaults of optional settings.
const (
	defaultConnections  = 128
	defaultQueuePerSlot = 4
	defaultQueueMs      = 100
	defaultDrainMs      = 30_000
)

// Load reads settings from the file at path, fills in the defaults and checks the
// result. It returns one Invalid error that lists every fault.
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

// Parse decodes settings from JSON, fills in the defaults and checks the result.
// It returns one Invalid error that lists every fault. Unknown fields are invalid.
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
	s.Limits.fillDefaults(s.Platform)
	if s.Platform != nil {
		s.addSeedHosts()
	}
}

// addSeedHosts adds Platform.SeedHosts to Seeds with the peer port of this node.
// Their regions and failure domains are not known.
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
