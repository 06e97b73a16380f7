package settings

import (
	"net/netip"
	"regexp"
	"strconv"
	"strings"

	"siskingw/errdefs"
)

// Limits of the settings.
const (
	maxSlots     = 100_000
	maxVerbosity = 2
	minGraceS    = 1 // calls in flight cannot finish in less time
	maxLinkMbps  = 1_000_000
	maxSeconds   = 3600 // of settings in seconds
)

var labelPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// maxPlatformName is the maximum length in bytes of a name that the platform gives.
const maxPlatformName = 128

// checker collects faults in the form "field: reason".
type checker struct {
	faults   []string
	platform bool // names are those of the platform, which may have any form
}

func (c *checker) add(field, reason string) { c.faults = append(c.faults, field+": "+reason) }

// check returns one Invalid error that lists every fault, or nil.
func (s *Settings) check() error {
	c := checker{platform: s.Platform != nil}
	c.name("id", s.ID)
	c.name("region", s.Region)
	c.name("failureDomain", s.FailureDomain)
	c.listeners(s.Listen)
	c.reachableAddress("advertise.inbound", s.Advertise.Inbound)
	c.reachableAddress("advertise.peer", s.Advertise.Peer)
	if _, err := netip.ParseAddr(s.DialFrom); s.DialFrom != "" && err != nil {
		c.add("dialFrom", strconv.Quote(s.DialFrom)+" is not an IP address")
	}
	if s.Target != nil {
		c.target(s.Target)
	}
	if s.Store.Endpoint != "" {
		c.reachableAddress("store.endpoint", s.Store.Endpoint)
	}
	if s.Store.Endpoint == "" && len(s.Seeds) == 0 {
		c.add("seeds", "a node needs a store endpoint or at least one seed")
	}
	for i, seed := range s.Seeds {
		c.seed("seeds["+strconv.Itoa(i)+"]", seed)
	}
	if s.Platform != nil {
		c.platformSettings(s)
	}
	c.limits(&s.Limits)
	c.within("balance.handOnPercent", s.Balance.HandOnPercent, 0, 100)
	if s.Balance.HandOnPercent > 0 && !s.Balance.RelayNews {
		c.add("balance.handOnPercent", "calls are handed on by the news that balance.relayNews brings")
	}
	c.within("log.verbosity", s.Log.Verbosity, 0, maxVerbosity)
	if s.Trace.SampleRatio < 0 || s.Trace.SampleRatio > 1 {
		c.add("trace.sampleRatio", "must be from 0 to 1")
	}
	c.within("stop.drainMs", s.Stop.DrainMs, 1, 3_600_000)
	if len(c.faults) > 0 {
		return errdefs.Invalid.New("%d faults: %s", len(c.faults), strings.Join(c.faults, "; "))
	}
	return nil
}

// name checks the name of an instance, region, failure domain or service. A node on the
// platform must start with whatever name it is given.
func (c *checker) name(field, v string) {
	switch {
	case c.platform && (v == "" || len(v) > maxPlatformName):
		c.add(field, strconv.Quote(v)+" does not have 1 to "+strconv.Itoa(maxPlatformName)+" bytes")
	case !c.platform && !labelPattern.MatchString(v):
		c.add(field, strconv.Quote(v)+" is not a DNS label of at most 63 lower-case characters")
	}
}

func (c *checker) within(field string, v, low, high int) {
	if v < low || v > high {
		c.add(field, strconv.Itoa(v)+" is not from "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
}

// listeners checks that the listen addresses are valid and distinct.
func (c *checker) listeners(l Listen) {
	seen := make(map[string]string)
	for _, a := range []struct{ field, addr string }{
		{"listen.outbound", l.Outbound}, {"listen.inbound", l.Inbound},
		{"listen.peer", l.Peer}, {"listen.admin", l.Admin}, {"listen.metrics", l.Metrics},
	} {
		if a.addr == "" && a.field == "listen.metrics" {
			continue
		}
		if _, ok := c.address(a.field, a.addr); !ok {
			continue
		}
		if other, taken := seen[a.addr]; taken {
			c.add(a.field, a.addr+" is the address of "+other)
		}
		seen[a.addr] = a.field
	}
}

// address parses an IP address with a port. It returns false after adding a fault
// if addr is invalid or its port is 0.
func (c *checker) address(field, addr string) (netip.AddrPort, bool) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || ap.Port() == 0 {
		c.add(field, strconv.Quote(addr)+" is not an IP address with a port")
		return ap, false
	}
	return ap, true
}

// reachableAddress checks an address that must be reachable from other processes.
func (c *checker) reachableAddress(field, addr string) {
	if ap, ok := c.address(field, addr); ok && ap.Addr().IsUnspecified() {
		c.add(field, addr+" cannot be reached from other instances")
	}
}

func (c *checker) target(t *Target) {
	c.name("target.service", t.Service)
	c.reachableAddress("target.address", t.Address)
	c.within("target.slots", t.Slots, 1, maxSlots)
	c.within("target.connections", t.Connections, 1, maxSlots)
	c.within("target.queueLength", t.QueueLength, 0, maxSlots)
	c.within("target.queueMs", t.QueueMs, 1, 60_000)
}

func (c *checker) seed(field string, s Seed) {
	c.reachableAddress(field+".address", s.Address)
	if s.Region == "" && s.FailureDomain == "" {
		return // the location of the seed is not known
	}
	c.name(field+".region", s.Region)
	c.name(field+".failureDomain", s.FailureDomain)
}

// platformSettings checks the settings of a node that runs on the users' platform.
func (c *checker) platformSettings(s *Settings) {
	p := s.Platform
	for _, a := range []struct{ field, addr string }{{"platform.control", p.Control}, {"platform.ready", p.Ready}} {
		c.address(a.field, a.addr)
		for _, other := range []string{s.Listen.Outbound, s.Listen.Inbound, s.Listen.Peer, s.Listen.Admin, s.Listen.Metrics} {
			if a.addr == other {
				c.add(a.field, a.addr+" is also the address of another listener")
			}
		}
	}
	if s.Store.Endpoint == "" {
		c.add("store.endpoint", "a node on the platform needs the platform's store")
	}
	if s.Target != nil {
		c.add("target", "the target announces itself on the platform")
	}
	if p.TargetAddress != "" {
		c.reachableAddress("platform.targetAddress", p.TargetAddress)
	}
	for i, host := range p.SeedHosts {
		c.address("platform.seedHosts["+strconv.Itoa(i)+"]", host)
	}
	c.within("platform.heartbeatMs", p.HeartbeatMs, 1, 60_000)
	c.within("platform.drainMs", p.DrainMs, 1, 600_000)
	c.withinFloat("platform.graceS", p.GraceS, minGraceS, maxSeconds)
	c.withinFloat("platform.retryRatio", p.RetryRatio, 0, 1)
	c.withinFloat("platform.retrySlack", p.RetrySlack, 0, 1_000_000)
	c.withinFloat("platform.retryWindowS", p.RetryWindowS, 0, maxSeconds)
	c.withinFloat("platform.quotaWindowS", p.QuotaWindowS, 0, maxSeconds)
	c.withinFloat("platform.quotaOver", p.QuotaOver, 0, 1)
	c.within("platform.quotaSlack", p.QuotaSlack, 0, 1_000_000)
	c.withinFloat("platform.canaryShare", p.CanaryShare, 0, 1)
	c.within("platform.memoryMB", p.MemoryMB, 0, 1<<20)
	c.withinFloat("platform.linkMbps", p.LinkMbps, 0, maxLinkMbps)
	c.within("platform.maxFiles", p.MaxFiles, 0, 1<<30)
}

// withinFloat adds a fault if v is not within low to high.
func (c *checker) withinFloat(field string, v, low, high float64) {
	if !(v >= low && v <= high) {
		c.add(field, strconv.FormatFloat(v, 'g', -1, 64)+" is not from "+
			strconv.FormatFloat(low, 'g', -1, 64)+" to "+strconv.FormatFloat(high, 'g', -1, 64))
	}
}
