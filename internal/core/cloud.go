package core

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"sort"
	"time"

	"mulleinfall/internal/fleet"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// fleetState is the leader's dealings with the cloud.
type fleetState struct {
	listing  bool
	listAt   time.Duration
	planAt   time.Duration
	renting  int
	unsure   bool // a rental had no answer: machines may come that look like found ones
	returnBy bool
	// refused keeps offers that the cloud had no capacity for: not asked
	// again before, with pauses that grow.
	refused   map[offerKey]*refusal
	returned  map[string]time.Duration
	zones     map[string]zoneState     // as of the last second
	silentAt  map[string]time.Duration // since when a zone is out of reach
	zoneBack  map[string]time.Duration // when one was last heard of again
	limitTold bool                     // that the operators' limit on machines was reached
	// unseenNow is how many machines have still to show their tasks.
	unseenNow int
}

type offerKey struct {
	typ, zone string
	spot      bool
}

type refusal struct {
	until time.Duration
	count int
}

func (s *State) startFleet() {
	s.fleetState = fleetState{refused: map[offerKey]*refusal{}}
	s.listAt = s.now
	s.planAt = s.now + time.Second
}

// cloud sends a call to the cloud, within its rate; false: not now.
func (s *State) cloud(c CloudCall, done func(CloudDone)) bool {
	if !s.cloudRate.AllowN(s.at(), 1) {
		return false
	}
	c.Call = s.call(func(r any) { done(r.(CloudDone)) })
	s.emit(c)
	return true
}

// pumpTypes learns the machine types: from the state service, or from the
// cloud where nobody has written them down yet. The leader keeps prices new.
func (s *State) pumpTypes() {
	if s.now < s.typesAt {
		return
	}
	if len(s.types) > 0 && !s.Leading() {
		s.typesAt = s.now + 5*time.Second
		return
	}
	if !s.loaded {
		return
	}
	s.typesAt = s.now + 3*time.Second
	s.cloud(CloudCall{Op: CloudTypes}, func(d CloudDone) {
		if d.Status != 200 || len(d.Types) == 0 {
			return
		}
		s.typesAt = s.now + 30*time.Second
		changed := s.setTypes(d.Types)
		if s.stamp(keyTypes) != 0 && !changed {
			return
		}
		s.put(&write{change: Change{Key: keyTypes, Value: raw(d.Types)}, class: classRoster, deadline: s.now + userWait, done: func(outcome) {}})
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
	tenure := s.tenure
	for _, host := range ordered(s.returned) {
		s.recentlyReturned(host) // forgets those of long ago
	}
	ok := s.cloud(CloudCall{Op: CloudList, After: after, Limit: 500}, func(d CloudDone) {
		if s.tenure != tenure {
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
		m.hiredAt = s.now - age
		s.describe(m, l.Endpoint, l.Type, l.Zone, l.Spot)
		return
	}
	if m.endpoint == "" {
		m.endpoint = l.Endpoint
	}
	if l.State == "failed" && s.now-m.lastBeat > s.cfg.Lease/2 {
		m.dead = true
	}
}

// foundFirst says whether a machine that turns up now must have been there
// before the service first started: nobody can have rented it.
func (s *State) foundFirst() bool {
	return s.firstTerm && !s.unsure
}

// giveBack returns machines that are lost, never came up, or idle.
func (s *State) giveBack() {
	if s.returnBy {
		return
	}
	var hosts []string
	s.zones = s.zoneView()
	s.unseenNow = 0
	for _, m := range s.order {
		if s.unaccounted(m) {
			s.unseenNow++
		}
	}
	service := s.serviceNeed()
	room := 0
	for _, m := range s.order {
		room += s.serviceRoomOn(m, service)
	}
	idle := 1 + len(s.order)/16 // of idle machines at a time
	for _, m := range s.order {
		if len(hosts) >= 100 {
			break
		}
		switch {
		case m.returning, m.dead, s.overdue(m), s.taken(m):
			hosts = append(hosts, m.host)
		case s.zones[m.zone].silent:
			// Cut off, most likely: what is there goes on working by itself or
			// will, and a machine that lost its work keeps its images.
		case s.deaf(m), s.missing(m):
			hosts = append(hosts, m.host)
		case m.lapsed:
			// Not while nobody reports: then it is rather us who are cut off.
			if s.now-max(s.leaseEnd(m), s.zoneBack[m.zone]) > s.cfg.Lease/2 && s.now-s.beatAt < 2*s.cfg.ReportEvery {
				hosts = append(hosts, m.host)
			}
		case !m.up && !m.rostered:
			if s.now-m.hiredAt > s.bootLimit(m) {
				hosts = append(hosts, m.host)
			}
		case !m.rostered && s.now-m.heard > 2*s.cfg.Lease, s.muteTooLong(m):
			hosts = append(hosts, m.host)
		case m.slow && len(m.tasks) == 0 && len(m.strangers) == 0:
			hosts = append(hosts, m.host)
		case !m.standing && m.recallAt == 0 && m.adopted && len(m.tasks) == 0 && len(m.strangers) == 0 && len(m.view.Local) == 0:
			if own := s.serviceRoomOn(m, service); s.settled && idle > 0 && s.idleEnough(m) && (own == 0 || room-own >= s.cfg.SpareServices) {
				idle--
				room -= own
				hosts = append(hosts, m.host)
			}
		default:
			m.idleSince = s.now
		}
	}
	if len(hosts) == 0 {
		return
	}
	tenure := s.tenure
	ok := s.cloud(CloudCall{Op: CloudReturn, Hosts: hosts}, func(d CloudDone) {
		if s.tenure != tenure {
			return
		}
		s.returnBy = false
		for _, h := range hosts {
			m := s.machines[h]
			switch {
			case d.Status == 200:
				s.gone(h)
			case m == nil:
			case d.Status == 503 || d.Status == 429:
				// Not done, so the machine is ours as before; held back, it
				// would stand empty for as long as the cloud is in trouble.
				m.returning = m.returnDoubt
				s.dirty = true
			default:
				m.returnDoubt = true // perhaps gone at any moment from now
			}
		}
	})
	if !ok {
		return
	}
	s.returnBy = true
	for _, h := range hosts {
		m := s.machines[h]
		level := slog.LevelInfo
		if m.returnTold {
			level = slog.LevelDebug // tried before
		}
		m.returning, m.returnTold = true, true
		s.dirty = true
		s.log(level, "returning machine", "host", h, "up", m.up, "lapsed", m.lapsed, "term", s.tenure.Term)
	}
}

func (s *State) bootLimit(m *machine) time.Duration {
	boot := 30.0
	if m.typ != nil {
		boot = max(m.typ.BootS, 5)
	}
	return time.Duration(s.cfg.GiveUpBoot * boot * float64(time.Second))
}

// idleEnough says whether an idle machine has waited for work as long as
// renting it anew would take, and has used up its minimum charge.
func (s *State) idleEnough(m *machine) bool {
	boot := 30.0
	if m.typ != nil {
		boot = max(m.typ.BootS, 5)
	}
	const minimumCharge = 60 * time.Second // PROTOCOL, /machines/return
	return s.now-m.idleSince > time.Duration(s.cfg.IdleReturn*boot*float64(time.Second)) && s.now-m.hiredAt > minimumCharge
}

// gone notes that the cloud has confirmed a machine's end.
func (s *State) gone(host string) {
	m := s.machines[host]
	if m == nil {
		return
	}
	for _, name := range ordered(m.tasks) {
		s.unbind(m.tasks[name], "machine returned")
	}
	s.drop(host)
	if s.returned == nil {
		s.returned = map[string]time.Duration{}
	}
	s.returned[host] = s.now
	s.strike(m)
	s.dirty = true
	s.checkSettled()
}

// recentlyReturned keeps the lagging list from bringing a machine back.
func (s *State) recentlyReturned(host string) bool {
	at, ok := s.returned[host]
	if !ok {
		return false
	}
	if s.now-at > 5*s.cfg.ListLag+32*s.cfg.Lease {
		delete(s.returned, host)
		return false
	}
	return true
}

// serviceNeed is a job with the most demanding service tasks of now, or nil.
func (s *State) serviceNeed() *job {
	var best *job
	for _, j := range s.active {
		if j.Kind == model.Service && j.rank == 0 && (best == nil || j.CPUs > best.CPUs || j.CPUs == best.CPUs && j.arrival < best.arrival) {
			best = j
		}
	}
	return best
}

// serviceRoomOn is for how many of the service tasks of j m has room, up to
// what is to be kept free.
func (s *State) serviceRoomOn(m *machine, j *job) int {
	if j == nil || m.spot || !s.usable(m) {
		return 0
	}
	need := sched.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}
	n := 0
	for free := m.view.Free; n < s.cfg.SpareServices && free.Fits(need); free = free.Sub(need) {
		n++
	}
	return n
}

// zoneState is what this leader hears of a zone's machines.
type zoneState struct {
	machines, heard int
	silent          bool
}

// zoneView finds the zones that are out of reach as a whole: most of their
// machines, and at least a few, don't report. Nothing is rented there nor
// counted on, and nothing returned, since what looks lost is only cut off;
// but not for ever.
func (s *State) zoneView() map[string]zoneState {
	zones := map[string]zoneState{}
	for _, m := range s.order {
		if !m.rostered || m.returning {
			continue
		}
		z := zones[m.zone]
		z.machines++
		if m.up && s.now-m.heard < s.silence() {
			z.heard++
		}
		zones[m.zone] = z
	}
	for _, name := range ordered(zones) {
		z := zones[name]
		if z.machines < 3 || z.heard*2 >= z.machines {
			if _, ok := s.silentAt[name]; ok {
				delete(s.silentAt, name)
				s.zoneBack[name] = s.now // its machines come back one by one
			}
			continue
		}
		if s.silentAt == nil {
			s.silentAt, s.zoneBack = map[string]time.Duration{}, map[string]time.Duration{}
		}
		if _, ok := s.silentAt[name]; !ok {
			s.silentAt[name] = s.now
			s.log(slog.LevelInfo, "zone out of reach", "zone", name, "machines", z.machines, "heard", z.heard, "term", s.tenure.Term)
		}
		z.silent = s.now-s.silentAt[name] < silentLeases*s.cfg.Lease
		zones[name] = z
	}
	return zones
}

// silentLeases is for how many leases a zone may be out of reach before its
// machines are given up.
const silentLeases = 16

// soonestBoot is the boot time of the type that is up first.
func (s *State) soonestBoot() time.Duration {
	boot := 0.0
	for i := range s.typeList {
		if b := s.typeList[i].BootS; boot == 0 || b < boot {
			boot = b
		}
	}
	return time.Duration(boot * float64(time.Second))
}

// rentMore rents for the tasks that found no room, and for the room to keep
// free for services.
func (s *State) rentMore() {
	if s.renting > 0 {
		return // what is asked for already must not be asked for twice
	}
	var wants []fleet.Want
	queue := s.queueForFleet()
	for _, j := range queue {
		w := s.want(j, j.waiting())
		w.Patient = !s.pressing(j)
		wants = append(wants, w)
	}
	if j := s.serviceNeed(); j != nil && s.cfg.SpareServices > 0 {
		spare := &job{Job: j.Job}
		spare.Spread, spare.Zone = false, ""
		wants = append(wants, s.want(spare, s.cfg.SpareServices))
	}
	if len(wants) == 0 {
		return
	}
	var coming []fleet.Coming
	horizon := s.now + s.soonestBoot()
	have := map[string]int{}
	for _, m := range s.order {
		have[m.zone]++
		if s.zones[m.zone].silent {
			continue
		}
		if m.typ == nil || m.returning || m.dead || m.lapsed || m.slow || m.recallAt != 0 {
			continue
		}
		c := fleet.Coming{Type: m.typeName, Zone: m.zone, Spot: m.spot}
		if m.up && (m.mute.is || s.now-m.heard >= s.silence()) {
			continue // perhaps gone: not to be counted on
		}
		if m.up {
			s.refreshView(m)
			c.Free = m.view.Free
			// Room that running work should free before a rented machine could
			// be up is as good as a rented machine.
			for _, r := range m.view.Running {
				if r.End >= horizon {
					break
				}
				c.Free = c.Free.Add(r.Need)
			}
			if c.Free.CPUs <= 0 || c.Free.MemoryGB <= 0 {
				continue // full for longer: nothing to plan with
			}
		} else {
			c.Free = m.view.Capacity
		}
		coming = append(coming, c)
	}
	limit := math.MaxInt
	if s.cfg.MaxMachines > 0 {
		limit = s.cfg.MaxMachines - len(s.machines)
		if limit <= 0 && !s.limitTold {
			s.limitTold = true
			s.log(slog.LevelWarn, "as many machines as the operators allow: nothing more is rented", "max_machines", s.cfg.MaxMachines, "term", s.tenure.Term)
		}
	}
	for _, r := range fleet.Plan(wants, coming, s.offers(have), limit) {
		s.rent(r)
	}
}

// age is how long ago j was submitted.
func (s *State) age(j *job) time.Duration {
	if j.at == 0 || s.wall < j.at {
		return 0
	}
	return time.Duration(s.wall-j.at) * time.Millisecond
}

// pressing says whether j can't wait any longer for room on the machines
// there are, or for cheap ones: part of the time that its class leaves beyond
// boot, fetch and run has passed.
func (s *State) pressing(j *job) bool {
	if j.Kind != model.Batch {
		return true
	}
	boot, rate := 0.0, 0.0
	for i := range s.typeList {
		t := &s.typeList[i]
		if t.Fits(&j.Job) && (boot == 0 || t.BootS < boot) {
			boot, rate = t.BootS, t.FetchRate
		}
	}
	// Estimates and boot times are often exceeded by half.
	ready := 1.5*boot + j.ImageGB/max(rate, 0.001)
	spare := s.within(j) - time.Duration((ready+1.25*j.Estimate)*float64(time.Second))
	if start := s.cfg.Goals[j.Class].Start; start > 0 {
		spare = min(spare, start-time.Duration(ready*float64(time.Second)))
	}
	return s.age(j) >= time.Duration(s.cfg.Patience*float64(spare))
}

// within is the time in which j should be done.
func (s *State) within(j *job) time.Duration {
	g := s.cfg.Goals[j.Class]
	switch {
	case g.Finish > 0:
		return g.Finish
	case g.Due > 0 && j.Due != nil:
		return time.Duration(g.Due * *j.Due * float64(time.Second))
	case j.Due != nil:
		return time.Duration(*j.Due * float64(time.Second))
	}
	return s.cfg.CancelIn
}

func (s *State) want(j *job, n int) fleet.Want {
	w := fleet.Want{Job: &j.Job, Count: n, Need: sched.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}}
	if j.Spread {
		w.PerZone = func(zone string) int {
			return j.ZoneCap() - j.zones[zone]
		}
	}
	return w
}

func (s *State) queueForFleet() []*job {
	var queue []*job
	for _, j := range s.active {
		if j.waiting() > 0 {
			queue = append(queue, j)
		}
	}
	sort.Slice(queue, func(a, b int) bool {
		if queue[a].rank != queue[b].rank {
			return queue[a].rank < queue[b].rank
		}
		return queue[a].arrival < queue[b].arrival
	})
	return queue
}

// offers lists what can be asked for now.
func (s *State) offers(have map[string]int) []fleet.Offer {
	var out []fleet.Offer
	for i := range s.typeList {
		t := s.types[s.typeList[i].Name]
		for _, zone := range t.ZonesAvail {
			if s.zones[zone].silent {
				continue
			}
			for _, spot := range []bool{false, true} {
				if r := s.refused[offerKey{t.Name, zone, spot}]; r != nil && s.now < r.until {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				out = append(out, fleet.Offer{Type: t, Zone: zone, Spot: spot, Price: price, Have: have[zone]})
			}
		}
	}
	return out
}

// rent asks the cloud for machines. The name is built from the term, so that
// no two requests ever share one; a repeat after silence uses the same.
func (s *State) rent(r fleet.Rental) {
	if s.renting >= 4 {
		return
	}
	s.hires++
	name := fmt.Sprintf("r-%d-%d", s.tenure.Term, s.hires)
	s.rentAs(name, r, 0)
}

func (s *State) rentAs(name string, r fleet.Rental, try int) {
	tenure := s.tenure
	key := offerKey{r.Type, r.Zone, r.Spot}
	ok := s.cloud(CloudCall{Op: CloudRent, Request: name, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: min(r.Count, 50)}, func(d CloudDone) {
		if s.tenure != tenure {
			return
		}
		s.renting--
		switch d.Status {
		case 200:
			s.log(slog.LevelInfo, "rented", "request", name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", len(d.Hosts), "term", tenure.Term)
			for _, h := range d.Hosts {
				m := s.machine(h)
				if !m.up {
					m.hiredAt = s.now
				}
				m.standing = false // up before the answer that names it
				s.describe(m, "", r.Type, r.Zone, r.Spot)
			}
			if len(d.Hosts) < min(r.Count, 50) {
				s.refuse(key)
			} else {
				delete(s.refused, key)
			}
		case 0:
			s.unsure = true
			if try < 3 {
				s.rentAs(name, r, try+1)
			}
		default:
			s.refuse(key)
		}
	})
	if ok {
		s.renting++
	}
}

func (s *State) refuse(key offerKey) {
	r := s.refused[key]
	if r == nil {
		r = &refusal{}
		s.refused[key] = r
	}
	r.count++
	r.until = s.now + s.cfg.Lease/2<<min(r.count-1, 1)
}
