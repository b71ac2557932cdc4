package core

import (
	"encoding/json"
	"time"

	"mulleinfall/internal/exactjson"
	"mulleinfall/internal/model"
)

// This file calls the cloud and applies its lists of machine types and machines.

// fleetState is the leader's state about the cloud and its machines.
type fleetState struct {
	listInFlight      bool
	nextListAt        time.Duration
	nextPlanAt        time.Duration // when returns and rentals are next planned
	rentalsInFlight   int           // rental requests under way
	lastRentalNumber  uint64        // number of the last rental request of this term
	rentalUnconfirmed bool          // a rental had no answer: its machines may appear unannounced
	returnInFlight    bool
	// refusedOffers holds the offers for which the cloud had no capacity. Each is requested
	// again after a pause (recordRefusal).
	refusedOffers        map[offerKey]*refusal
	returnedAt           map[string]time.Duration // when each machine was returned, by host
	zones                map[string]zoneState     // updated once per second, unless a return is under way
	zoneUnreachableSince map[string]time.Duration // since when a zone has been unreachable
	zoneRecoveredAt      map[string]time.Duration // when a zone last became reachable again
	limitLogged          bool                     // the log says that the limit on machines was reached
	// reachableMachines is the number of machines outside unreachable zones.
	// unaccountedMachines is how many of these may run tasks that this leader has not seen
	// (isUnaccounted); takeoverState.unaccountedFor lists such machines of all zones.
	reachableMachines   int
	unaccountedMachines int
}

// resetFleet starts a term with empty state about the cloud.
func (s *State) resetFleet() {
	s.fleetState = fleetState{refusedOffers: map[offerKey]*refusal{}}
	s.nextListAt = s.now
	s.nextPlanAt = s.now + time.Second
}

// callCloud sends a call to the cloud. It returns false and sends nothing if that would
// exceed the rate limit.
func (s *State) callCloud(call CloudCall, done func(CloudResult)) bool {
	if !s.cloudRate.AllowN(s.limiterTime(), 1) {
		return false
	}
	call.CallID = s.registerCall(func(r any) { done(r.(CloudResult)) })
	s.emit(call)
	return true
}

// refreshTypes requests the machine types from the cloud: on the leader regularly, which
// keeps the prices up to date; on other controllers only until they know any types, since
// the state service usually holds the types already. They are written there if it holds
// none, or if setTypes reports a change.
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
	s.callCloud(CloudCall{Op: CloudTypes}, func(result CloudResult) {
		if result.Status != 200 || len(result.Types) == 0 {
			return
		}
		s.nextTypesReadAt = s.now + 30*time.Second
		changed := s.setTypes(result.Types)
		if s.modRevision(keyTypes) != 0 && !changed || len(mustMarshal(result.Types)) > s.cfg.MaxValueBytes {
			return // unchanged, or too long to be stored, so that each controller asks the cloud
		}
		s.queueWrite(&write{change: Change{Key: keyTypes, Value: mustMarshal(result.Types)}, class: classRegistry, deadline: s.now + userRequestTimeout, done: func(outcome) {}})
	})
}

// loadTypes applies the machine types as the state service holds them.
func (s *State) loadTypes(value json.RawMessage) {
	var types []model.MachineType
	if exactjson.Unmarshal(value, &types) == nil && len(types) > 0 {
		s.setTypes(types)
	}
}

// setTypes applies a list of machine types. It says whether a type was added or removed,
// or changed in more than its prices, boot time or zones.
func (s *State) setTypes(types []model.MachineType) bool {
	changed := len(types) != len(s.typeList)
	for i := range types {
		machineType := types[i]
		old := s.types[machineType.Name]
		if old == nil {
			changed = true
			s.types[machineType.Name] = &machineType
			continue
		}
		if old.CPUs != machineType.CPUs || old.GPUs != machineType.GPUs || old.MemoryGB != machineType.MemoryGB || old.CacheGB != machineType.CacheGB || old.FetchGBPerS != machineType.FetchGBPerS {
			changed = true
		}
		*old = machineType
	}
	s.typeList = types
	for _, m := range s.machines {
		s.describeMachine(m, m.endpoint, m.typeName, m.zone, m.spot)
	}
	return changed
}

// cloudTick lists the cloud's machines when that is due. Once per second it returns the
// machines that are not needed and, after the takeover, rents those that are missing.
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

// listMachines requests the cloud's machines, page by page. after is the last host of the
// previous page, or "".
func (s *State) listMachines(after string) {
	s.listInFlight = true
	leadership := s.leadership
	for _, host := range sortedKeys(s.returnedAt) {
		s.wasRecentlyReturned(host) // removes the entry if it is old
	}
	sent := s.callCloud(CloudCall{Op: CloudList, After: after, Limit: 500}, func(result CloudResult) {
		if s.leadership != leadership {
			return
		}
		s.listInFlight = false
		s.nextListAt = s.now + max(s.cfg.ListLag/2, time.Second)
		if result.Status != 200 {
			return
		}
		for _, listed := range result.Listed {
			s.applyListedMachine(listed)
		}
		if result.More && len(result.Listed) > 0 {
			s.listMachines(result.Listed[len(result.Listed)-1].Host)
		}
	})
	if !sent {
		s.listInFlight = false
	}
}

// applyListedMachine applies one entry of the cloud's machine list. The list lags: it may
// lack new machines and still have machines that are gone.
func (s *State) applyListedMachine(listed model.ListedMachine) {
	m := s.machines[listed.Host]
	age := model.Duration(listed.AgeS)
	if m == nil {
		if listed.State == "failed" {
			return
		}
		if s.wasRecentlyReturned(listed.Host) {
			return
		}
		m = s.ensureMachine(listed.Host)
		m.preexisting = s.newMachinesArePreexisting()
		m.rentedAt = s.now - age
		s.describeMachine(m, listed.Endpoint, listed.Type, listed.Zone, listed.Spot)
		return
	}
	if m.endpoint == "" {
		m.endpoint = listed.Endpoint
	}
	// A new leader does not know when the machine was rented. If it counted from its
	// election, the minimum charge would keep idle machines for a minute too long.
	m.rentedAt = min(m.rentedAt, s.now-age)
	if listed.State == "failed" && s.now-m.lastReplyAt > s.cfg.Lease/2 {
		m.failed = true
	}
}

// newMachinesArePreexisting says whether a machine that appears now must belong to the
// operators: this is the service's first term, and no machine of an unconfirmed rental
// can appear.
func (s *State) newMachinesArePreexisting() bool {
	return s.firstTerm && !s.rentalUnconfirmed
}
