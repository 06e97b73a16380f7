package balance

import (
	"math"
	"sync"

	"siskingw/evenload"
)

// classTimes are the service times of the classes of one service in ns, as the
// nodes of its endpoints have reported them. They are kept by endpoint, because the
// mean service time of all calls depends on which classes an endpoint gets: scaled
// by it, an endpoint that happens to get short calls would look fast and get more
// of them, and one with long calls slow.
type classTimes struct {
	mu      sync.Mutex
	byClass map[string]classTime
}

// classTime is the service time of one class.
type classTime struct {
	last float64 // as reported last
	mean float64 // moving average of the reports
	at   int64   // time of the last report, ns of the balancer's clock
}

const (
	// classTimeWeight is the weight of a new report in the moving average.
	classTimeWeight = 0.1
	// maxClassTimes limits the number of classes; all are dropped when it is
	// reached.
	maxClassTimes = 1024
)

// add records a report received at now. A report without the class's time is
// ignored.
func (t *classTimes) add(r Report, now int64) {
	if r.ClassServiceTime <= 0 || r.ServiceTime <= 0 {
		return
	}
	v := float64(r.ClassServiceTime)
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.byClass[r.Class]
	if !ok {
		if t.byClass == nil || len(t.byClass) >= maxClassTimes {
			t.byClass = make(map[string]classTime)
		}
		old.mean = v
	}
	t.byClass[r.Class] = classTime{last: v, mean: old.mean + classTimeWeight*(v-old.mean), at: now}
}

// of returns the service time of a class; ok is false while it is unknown.
func (t *classTimes) of(class string) (v classTime, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok = t.byClass[class]
	return v, ok
}

// classTime returns the expected service time of a class at the endpoint in ns:
// what its node has reported, less with age, else the mean of the service's
// endpoints. all is the service time of all calls at the endpoint, which is used
// while no node has reported the class.
func (c *choice) classTime(e *endpoint, class string, all float64) float64 {
	service, ok := e.service.classTimes.of(class)
	if !ok {
		return all
	}
	own, ok := e.classTimes.of(class)
	if !ok {
		return service.mean
	}
	weight := math.Exp2(-float64(c.now-own.at) / float64(evenload.ServiceTimeHalfLife))
	return service.mean + weight*(own.last-service.mean)
}
