package core

import (
	"encoding/json"
	"time"

	"mulleinfall/internal/model"
)

// fleetState is the leader's dealings with the cloud.
type fleetState struct {
	listing  bool
	listAt   time.Duration
	planAt   time.Duration
	renting  int    // requests under way
	rentals  uint64 // numbers the requests of this term
	unsure   bool   // a rental had no answer: machines may come that look like found ones
	returnBy bool
	// refused keeps offers that the cloud had no capacity for: not asked
	// again before, with pauses that grow.
	refused   map[offerKey]*refusal
	returned  map[string]time.Duration
	zones     map[string]zoneState     // as of the last second
	silentAt  map[string]time.Duration // since when a zone is out of reach
	zoneBack  map[string]time.Duration // when one was last heard of again
	limitTold bool                     // that the operators' limit on machines was reached
	// inReach is how many machines there are outside the zones that are cut off,
	// unaccountedNow how many of them have still to show their tasks.
	inReach        int
	unaccountedNow int
}

func (s *State) startFleet() {
	s.fleetState = fleetState{refused: map[offerKey]*refusal{}}
	s.listAt = s.now
	s.planAt = s.now + time.Second
}

// cloud sends a call to the cloud, within its rate; false: not now.
func (s *State) cloud(c CloudCall, done func(CloudResult)) bool {
	if !s.cloudRate.AllowN(s.limiterTime(), 1) {
		return false
	}
	c.CallID = s.registerCall(func(r any) { done(r.(CloudResult)) })
	s.emit(c)
	return true
}

// pumpTypes learns the machine types: from the state service, or from the
// cloud where nobody has written them down yet. The leader keeps prices new.
func (s *State) pumpTypes() {
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
	s.cloud(CloudCall{Op: CloudTypes}, func(d CloudResult) {
		if d.Status != 200 || len(d.Types) == 0 {
			return
		}
		s.nextTypesReadAt = s.now + 30*time.Second
		changed := s.setTypes(d.Types)
		if s.modRevision(keyTypes) != 0 && !changed || len(mustMarshal(d.Types)) > s.cfg.MaxValueBytes {
			return // or too long to be kept: each controller asks the cloud itself
		}
		s.queueWrite(&write{change: Change{Key: keyTypes, Value: mustMarshal(d.Types)}, class: classRegistry, deadline: s.now + userWait, done: func(outcome) {}})
	})
}

func (s *State) typesFromStore(value json.RawMessage) {
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
		if old.CPUs != t.CPUs || old.GPUs != t.GPUs || old.MemoryGB != t.MemoryGB || old.CacheGB != t.CacheGB || old.FetchRate != t.FetchRate {
			changed = true
		}
		*old = t
	}
	s.typeList = list
	for _, m := range s.machines {
		s.describe(m, m.endpoint, m.typeName, m.zone, m.spot)
	}
	return changed
}

// cloudTick compares the machines there are with those that are wanted.
func (s *State) cloudTick() {
	if !s.listing && s.now >= s.listAt {
		s.list("")
	}
	if s.now >= s.planAt {
		s.planAt = s.now + time.Second
		s.giveBack()
		if s.settled {
			s.rentMore()
		}
	}
}

func (s *State) list(after string) {
	s.listing = true
	leadership := s.leadership
	for _, host := range sortedKeys(s.returned) {
		s.recentlyReturned(host) // forgets those of long ago
	}
	ok := s.cloud(CloudCall{Op: CloudList, After: after, Limit: 500}, func(d CloudResult) {
		if s.leadership != leadership {
			return
		}
		s.listing = false
		s.listAt = s.now + max(s.cfg.ListLag/2, time.Second)
		if d.Status != 200 {
			return
		}
		for _, l := range d.Listed {
			s.listed(l)
		}
		if d.More && len(d.Listed) > 0 {
			s.list(d.Listed[len(d.Listed)-1].Host)
		}
	})
	if !ok {
		s.listing = false
	}
}

// listed takes a line of the machine list. The list lags: what it lacks says
// nothing, and a machine that is gone may still be on it.
func (s *State) listed(l model.Listed) {
	m := s.machines[l.Host]
	age := time.Duration(l.AgeS * float64(time.Second))
	if m == nil {
		if l.State == "failed" {
			return
		}
		if s.recentlyReturned(l.Host) {
			return
		}
		m = s.machine(l.Host)
		m.standing = s.foundFirst()
		m.rentedAt = s.now - age
		s.describe(m, l.Endpoint, l.Type, l.Zone, l.Spot)
		return
	}
	if m.endpoint == "" {
		m.endpoint = l.Endpoint
	}
	// A new leader doesn't know when it was rented: counted from the election,
	// its minimum charge kept it for a minute with nothing to do.
	m.rentedAt = min(m.rentedAt, s.now-age)
	if l.State == "failed" && s.now-m.lastReplyAt > s.cfg.Lease/2 {
		m.dead = true
	}
}

// foundFirst says whether a machine that turns up now must have been there
// before the service first started: nobody can have rented it.
func (s *State) foundFirst() bool {
	return s.firstTerm && !s.unsure
}
