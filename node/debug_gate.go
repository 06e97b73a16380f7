package node

import (
	"context"
	"time"
)

func (s *targetService) debugGate(ctx context.Context) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	var infl, q, n int
	var last [3]uint64
	var lastR [3]uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		b := s.backend.Load()
		if b == nil {
			n++
			if n%20 == 0 {
				println("GATE none")
				infl, q, n = 0, 0, 0
			}
			continue
		}
		st := b.Gate.Stats()
		infl += st.InFlight
		q += st.Queued
		n++
		if n%20 == 0 {
			r := b.Gate.Report()
			println("GATE", b.target.Service, b.target.ID, "inflight", infl*10/n, "queued", q*10/n, "adm", st.Kinds[0].Admitted-last[0], st.Kinds[1].Admitted-last[1], st.Kinds[2].Admitted-last[2], "ref", st.Kinds[0].Refused-lastR[0], st.Kinds[1].Refused-lastR[1], st.Kinds[2].Refused-lastR[2], "svc", r.Service.Milliseconds())
			for i := range 3 {
				last[i] = st.Kinds[i].Admitted
				lastR[i] = st.Kinds[i].Refused
			}
			infl, q, n = 0, 0, 0
		}
	}
}
