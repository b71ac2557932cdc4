package core

import (
	"encoding/json"
	"time"

	"mulleinfall/internal/model"
)

// fleetState is the leader's dealings with the cloud.
type fleetState struct {
	listInFlight      bool
	nextListAt        time.Duration
	nextPlanAt        time.Duration
	rentalsInFlight   int    // requests under way
	lastRentalNumber  uint64 // numbers the requests of this term
	rentalUnconfirmed bool   // a rental had no answer: machines may come that look like found ones
	returnInFlight    bool
	// refusedOffers keeps offers that the cloud had no capacity for: not asked
	// again before, with pauses that grow.
	refusedOffers        map[offerKey]*refusal
	returnedAt           map[string]time.Duration
	zones                map[string]zoneState     // as of the last second
	zoneUnreachableSince map[string]time.Duration // since when a zone is out of reach
	zoneRecoveredAt      map[string]time.Duration // when one was last heard of again
	limitLogged          bool                     // that the operators' limit on machines was reached
	// reachableMachines is how many machines there are outside the zones that are cut off,
	// unaccountedNow how many of them have still to show their tasks.
	reachableMachines   int
	unaccountedMachines int
}

func (s *State) resetFleet() {
	s.fleetState = fleetState{refusedOffers: map[offerKey]*refusal{}}
	s.nextListAt = s.now
	s.nextPlanAt = s.now + time.Second
}

// callCloud sends a call to the cloud, within its rate; false: not now.
func (s *State) callCloud(c CloudCall, done func(CloudResult)) bool {
	if !s.cloudRate.AllowN(s.limiterTime(), 1) {
		return false
	}
	c.CallID = s.registerCall(func(r any) { done(r.(CloudResult)) })
	s.emit(c)
	return true
}

// refreshTypes learns the machine types: from the state service, or from the
// cloud where nobody has written them down yet. The leader keeps prices new.
func (s *State) refreshTypes() {
	if s.now < s.nextTypesReadAt {
		return
	}
	if len(s.types) > 0 && !s.IsLeader() {
		s.nextTypesReadAt = s.now + 5*time.Second
		return
	}
	if !s.loaded {
		return
	}
	s.nextTypesReadAt = s.now + 3*time.Second
	s.callCloud(CloudCall{Op: CloudTypes}, func(d CloudResult) {
		if d.Status != 200 || len(d.Types) == 0 {
			return
		}
		s.nextTypesReadAt = s.now + 30*time.Second
		changed := s.setTypes(d.Types)
		if s.modRevision(keyTypes) != 0 && !changed || len(mustMarshal(d.Types)) > s.cfg.MaxValueBytes {
			return // or too long to be kept: each controller asks the cloud itself
		}
		s.queueWrite(&write{change: Change{Key: keyTypes, Value: mustMarshal(d.Types)}, class: classRegistry, deadline: s.now + userRequestTimeout, done: func(outcome) {}})
	})
}

func (s *State) loadTypes(value json.RawMessage) {
	var list []model.MachineType
	if json.Unmarshal(value, &list) == nil && len(list) > 0 {
		s.setTypes(list)
	}
}

// setTypes takes the list of types; it says whether more than prices changed.
func (s *State) setTypes(list []model.MachineType) bool {
	changed := len(list) != len(s.typeList)
	for i := range list {
		t := list[i]
		old := s.types[t.Name]
		if old == nil {
			changed = true
			s.types[t.Name] = &t
			continue
		}
		if old.CPUs != t.CPUs || old.GPUs != t.GPUs || old.MemoryGB != t.MemoryGB || old.CacheGB != t.CacheGB || old.FetchGBPerS != t.FetchGBPerS {
			changed = true
		}
		*old = t
	}
	s.typeList = list
	for _, m := range s.machines {
		s.describeMachine(m, m.endpoint, m.typeName, m.zone, m.spot)
	}
	return changed
}

// cloudTick compares the machines there are with those that are wanted.
func (s *State) cloudTick() {
	if !s.listInFlight && s.now >= s.nextListAt {
		s.listMachines("")
	}
	if s.now >= s.nextPlanAt {
		s.nextPlanAt = s.now + time.Second
		s.returnMachines()
		if s.takeoverComplete {
			s.rentMissing()
		}
	}
}

func (s *State) listMachines(after string) {
	s.listInFlight = true
	leadership := s.leadership
	for _, host := range sortedKeys(s.returnedAt) {
		s.wasRecentlyReturned(host) // forgets those of long ago
	}
	ok := s.callCloud(CloudCall{Op: CloudList, After: after, Limit: 500}, func(d CloudResult) {
		if s.leadership != leadership {
			return
		}
		s.listInFlight = false
		s.nextListAt = s.now + max(s.cfg.ListLag/2, time.Second)
		if d.Status != 200 {
			return
		}
		for _, l := range d.Listed {
			s.applyListedMachine(l)
		}
		if d.More && len(d.Listed) > 0 {
			s.listMachines(d.Listed[len(d.Listed)-1].Host)
		}
	})
	if !ok {
		s.listInFlight = false
	}
}

// applyListedMachine takes a line of the machine list. The list lags: what it lacks says
// nothing, and a machine that is gone may still be on it.
func (s *State) applyListedMachine(l model.ListedMachine) {
	m := s.machines[l.Host]
	age := time.Duration(l.AgeS * float64(time.Second))
	if m == nil {
		if l.State == "failed" {
			return
		}
		if s.wasRecentlyReturned(l.Host) {
			return
		}
		m = s.ensureMachine(l.Host)
		m.preexisting = s.newMachinesArePreexisting()
		m.rentedAt = s.now - age
		s.describeMachine(m, l.Endpoint, l.Type, l.Zone, l.Spot)
		return
	}
	if m.endpoint == "" {
		m.endpoint = l.Endpoint
	}
	// A new leader doesn't know when it was rented: counted from the election,
	// its minimum charge kept it for a minute with nothing to do.
	m.rentedAt = min(m.rentedAt, s.now-age)
	if l.State == "failed" && s.now-m.lastReplyAt > s.cfg.Lease/2 {
		m.failed = true
	}
}

// newMachinesArePreexisting says whether a machine that turns up now must have been there
// before the service first started: nobody can have rented it.
func (s *State) newMachinesArePreexisting() bool {
	return s.firstTerm && !s.rentalUnconfirmed
}
