package balance

// VersionRule restricts a call to targets of some versions, such as those that are
// known to be good. It must be safe for concurrent use.
type VersionRule interface {
	// Allows reports whether the call may go to the target of a version beside the
	// node with an id.
	Allows(node, version string) bool
}

// allowed reports whether the version rule of the call permits the endpoint.
func (c *choice) allowed(e *endpoint) bool {
	if c.versions == nil {
		return true
	}
	r := e.record.Load()
	return c.versions.Allows(r.ID, r.Version())
}
