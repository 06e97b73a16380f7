package settings

import "time"

// Limits bounds what clients can make the process hold. They protect the process from
// clients that send many or unfinished requests; one request within the limits of the
// configuration is always served.
type Limits struct {
	// CallMemoryMB is the memory, in MiB, for the headers and bodies of calls. Default:
	// callMemoryPercent of Platform.MemoryMB, or defaultCallMemoryMB without it.
	CallMemoryMB int `json:"callMemoryMB,omitempty"`
	// BodyStallMs is the time after which a body that arrives more slowly than
	// MinBodyRate is given up when others need its memory or its target. Default 3000.
	BodyStallMs int `json:"bodyStallMs,omitempty"`
	MinBodyRate int `json:"minBodyRate,omitempty"` // bytes/s, default 4096
	// StalledBodies and StalledBodiesPerClient limit the bodies that may be stalled at a
	// time, in all and from one IP address. Default 256 and 64.
	StalledBodies          int `json:"stalledBodies,omitempty"`
	StalledBodiesPerClient int `json:"stalledBodiesPerClient,omitempty"`
	// StreamSlotPercent is the share, in percent, of a target's slots that calls may
	// occupy while their bodies arrive. Default 75.
	StreamSlotPercent int `json:"streamSlotPercent,omitempty"`
	// Connections limits the open connections of clients and other nodes. Default:
	// half of what Platform.MaxFiles leaves, and no more than connMemoryPercent of
	// Platform.MemoryMB allows; without these settings there is no limit.
	Connections int `json:"connections,omitempty"`
	// OtherConnections limits the open connections at each listener that takes no calls.
	// Default: one part in otherConnectionsShare of Platform.MaxFiles, at least
	// minOtherConnections; without that setting there is no limit.
	OtherConnections int `json:"otherConnections,omitempty"`
	// DialedConnections limits the connections to other nodes. Default: three tenths of
	// what Platform.MaxFiles leaves; without that setting there is no limit.
	DialedConnections int `json:"dialedConnections,omitempty"`
	// PeerConnections limits the open connections at the listener between nodes. Default:
	// peerConnectionsPercent of what Platform.MaxFiles leaves, at least
	// minPeerConnections, and no more than peerConnMemoryPercent of Platform.MemoryMB allows;
	// without these settings there is no limit.
	PeerConnections int `json:"peerConnections,omitempty"`
	// PeerMemoryMB is the memory, in MiB, for unfinished messages and open streams at that
	// listener. Default: peerMemoryPercent of Platform.MemoryMB, or defaultPeerMemoryMB
	// without it, at least minPeerMemoryMB.
	PeerMemoryMB int `json:"peerMemoryMB,omitempty"`
}

// Defaults of Limits.
const (
	// callMemoryPercent is the share of the process's memory for calls. The runtime
	// needs about as much again until it has collected the garbage, and an idle process
	// takes about 20 MB.
	callMemoryPercent   = 30
	defaultCallMemoryMB = 256

	defaultBodyStallMs            = 3000
	defaultMinBodyRate            = 4096
	defaultStalledBodies          = 256
	defaultStalledBodiesPerClient = 64
	defaultStreamSlotPercent      = 75

	// connBytes is the memory that a connection of a client takes with its buffers and
	// its goroutine.
	connBytes         = 32 << 10
	connMemoryPercent = 25
	// baseFiles and baseFilesShare are the descriptors that are not available to
	// calls: a fixed number and one part in baseFilesShare of all.
	baseFiles      = 32
	baseFilesShare = 8
	// Shares of the other descriptors, in percent. The rest is for the target.
	connectionsPercent       = 50
	dialedConnectionsPercent = 30

	// peerConnectionsPercent leaves room for a connection of each node of a fleet of 300,
	// which a pool of quotas has, on the smallest machine.
	peerConnectionsPercent = 20

	otherConnectionsShare = 32
	minOtherConnections   = 16

	// peerConnBytes is the memory that a connection of another node takes with its
	// buffers and goroutines.
	peerConnBytes         = 64 << 10
	peerConnMemoryPercent = 20
	peerMemoryPercent     = 10
	defaultPeerMemoryMB   = 64
	// minPeerMemoryMB holds two messages of the largest size.
	minPeerMemoryMB    = 8
	minPeerConnections = 16
)

// BodyStall returns BodyStallMs as a duration.
func (l *Limits) BodyStall() time.Duration { return time.Duration(l.BodyStallMs) * time.Millisecond }

func (l *Limits) fillDefaults(p *Platform) {
	if p != nil && p.MemoryMB > 0 {
		setDefault(&l.CallMemoryMB, max(1, p.MemoryMB*callMemoryPercent/100))
	}
	if p != nil && p.MaxFiles > 0 {
		files := max(p.MaxFiles-baseFiles-p.MaxFiles/baseFilesShare, 0)
		connections := max(1, files*connectionsPercent/100)
		if p.MemoryMB > 0 {
			connections = min(connections, p.MemoryMB*connMemoryPercent*((1<<20)/connBytes)/100)
		}
		setDefault(&l.Connections, max(1, connections))
		setDefault(&l.OtherConnections, max(minOtherConnections, p.MaxFiles/otherConnectionsShare))
		setDefault(&l.DialedConnections, max(1, files*dialedConnectionsPercent/100))
		peers := files * peerConnectionsPercent / 100
		if p.MemoryMB > 0 {
			peers = min(peers, p.MemoryMB*peerConnMemoryPercent*((1<<20)/peerConnBytes)/100)
		}
		setDefault(&l.PeerConnections, max(minPeerConnections, peers))
	}
	if p != nil && p.MemoryMB > 0 {
		setDefault(&l.PeerMemoryMB, max(minPeerMemoryMB, p.MemoryMB*peerMemoryPercent/100))
	}
	setDefault(&l.PeerMemoryMB, defaultPeerMemoryMB)
	setDefault(&l.CallMemoryMB, defaultCallMemoryMB)
	setDefault(&l.BodyStallMs, defaultBodyStallMs)
	setDefault(&l.MinBodyRate, defaultMinBodyRate)
	setDefault(&l.StalledBodies, defaultStalledBodies)
	setDefault(&l.StalledBodiesPerClient, defaultStalledBodiesPerClient)
	setDefault(&l.StreamSlotPercent, defaultStreamSlotPercent)
}

func setDefault(v *int, value int) {
	if *v == 0 {
		*v = value
	}
}

// Bounds of Limits. A request header may have 16 KiB, and 1 MiB holds it with its fields.
const (
	maxLimitMB   = 1 << 20
	maxLimitMs   = 3_600_000
	maxLimitRate = 1 << 30
	maxLimit     = 1 << 20
)

// limits checks the limits on clients.
func (c *checker) limits(l *Limits) {
	c.within("limits.callMemoryMB", l.CallMemoryMB, 1, maxLimitMB)
	c.within("limits.bodyStallMs", l.BodyStallMs, 1, maxLimitMs)
	c.within("limits.minBodyRate", l.MinBodyRate, 1, maxLimitRate)
	c.within("limits.stalledBodies", l.StalledBodies, 1, maxLimit)
	c.within("limits.stalledBodiesPerClient", l.StalledBodiesPerClient, 1, maxLimit)
	c.within("limits.streamSlotPercent", l.StreamSlotPercent, 1, 100)
	c.within("limits.connections", l.Connections, 0, maxLimit)
	c.within("limits.otherConnections", l.OtherConnections, 0, maxLimit)
	c.within("limits.dialedConnections", l.DialedConnections, 0, maxLimit)
	c.within("limits.peerConnections", l.PeerConnections, 0, maxLimit)
	c.within("limits.peerMemoryMB", l.PeerMemoryMB, minPeerMemoryMB, maxLimitMB)
}
