package member

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// TargetDeparture is a departure of a target that the node of its instance has
// acknowledged. It covers all starts of the target up to one.
type TargetDeparture struct {
	Target         string
	StartedMs      int64 // start time of the latest start that has left, ms since 1970
	AcknowledgedMs int64 // ms since 1970, by the clock of the acknowledging node
}

// Covers reports whether the departure includes the start of a target at
// startedMs, in ms since 1970. A nil departure covers none.
func (t *TargetDeparture) Covers(target string, startedMs int64) bool {
	return t != nil && t.Target == target && startedMs <= t.StartedMs
}

// laterDeparture returns the departure that was acknowledged last; either may be
// nil.
func laterDeparture(a, b *TargetDeparture) *TargetDeparture {
	if a == nil || b != nil && b.AcknowledgedMs > a.AcknowledgedMs {
		return b
	}
	return a
}

// RecordTargetDeparture adds the departure of a target of this instance to the
// node's own record. The departure covers the starts up to startedMs, in ms since
// 1970. RecordTargetDeparture reports whether that is new.
func (d *Directory) RecordTargetDeparture(target string, startedMs int64) bool {
	if d.Self().TargetDeparture.Covers(target, startedMs) {
		return false
	}
	d.UpdateSelf(func(r *Record) {
		now := d.opts.Clock.Now().UnixMilli()
		if last := r.TargetDeparture; last != nil { // the clock may have been set back
			now = max(now, last.AcknowledgedMs+1)
		}
		r.TargetDeparture = &TargetDeparture{Target: target, StartedMs: startedMs, AcknowledgedMs: now}
	})
	return true
}

// adoptStatements adds what a record about this node states beyond its process to the
// node's own record: an earlier process has stated it.
func (d *Directory) adoptStatements(r *Record, cs *changeSet) {
	next, added := keepStatements(d.Self(), r)
	if added {
		next.Sequence++
		d.put(&next, cs)
	}
}

// departureKeepers returns the nodes that give a departure back to a node that
// has restarted: the relays of its failure domain, or else those of its region,
// or else the relays of every region.
func departureKeepers(v View, r *Record) []*Record {
	if keepers := recordsExcept(Relays(v, r.FailureDomain), r.ID); len(keepers) > 0 {
		return keepers
	}
	keepers := recordsExcept(RegionRelays(v, r.Region), r.ID)
	for _, region := range Regions(v) {
		if len(keepers) > 0 {
			break
		}
		keepers = recordsExcept(RegionRelays(v, region), r.ID)
	}
	return keepers[:min(RelayCount, len(keepers))]
}

// recordsExcept returns a copy of records without the one with the given id.
func recordsExcept(records []*Record, id string) []*Record {
	var rest []*Record
	for _, r := range records {
		if r.ID != id {
			rest = append(rest, r)
		}
	}
	return rest
}

// AnnounceTargetDeparture pushes this node's record directly to the keepers of
// its departures. It returns when they have it or ctx ends.
func (s *Service) AnnounceTargetDeparture(ctx context.Context) {
	self := s.dir.Self()
	var g errgroup.Group
	for _, r := range departureKeepers(s.dir, self) {
		g.Go(func() error {
			_, err := s.push(ctx, r, pushRequest{edge: edge{kind: edgeUp}, records: []*Record{self}})
			return err
		})
	}
	if err := g.Wait(); err != nil {
		s.opts.Log.V(1).Info("departure of the target not accepted by every keeper", "error", err.Error())
	}
}

// returnStatements sends the records in which this node knows a later departure or
// version than the node that the record describes, back to that node.
func (s *Service) returnStatements(received []Record) {
	self := s.dir.Self().ID
	for i := range received {
		r := &received[i]
		known := s.dir.Lookup(r.ID)
		if r.ID == self || known == nil || !known.Live() || known.Incarnation != r.Incarnation {
			continue
		}
		if _, missing := keepStatements(r, known); !missing {
			continue
		}
		for _, k := range departureKeepers(s.dir, known) {
			if k.ID != self {
				continue
			}
			go func() {
				_, err := s.push(context.Background(), known, pushRequest{edge: edge{edgeDown, known.ID}, records: []*Record{known}})
				if err != nil {
					s.opts.Log.V(1).Info("statements not returned", "member", known.ID, "error", err.Error())
				}
			}()
		}
	}
}
