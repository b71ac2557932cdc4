// Package fleet works out which machines to rent for work that finds no room.
// It is pure: what is wanted, what is on its way and what can be had go in,
// the rentals that make up the difference come out.
package fleet

import (
	"maps"
	"math"
	"slices"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// Demand is a number of like tasks that want room.
type Demand struct {
	Job   *model.Job
	Need  sched.Resources
	Count int
	// CanWait: no hurry yet, so only spot machines are rented for it.
	CanWait bool
	// OneZone: all in one zone. Together: of use only all at once.
	OneZone, AllOrNothing bool
	// ZoneAllowance is how many more tasks of the job each zone may take; nil: any.
	ZoneAllowance func(zone string) int
}

// ExpectedCapacity is a machine that has room or will have it soon.
type ExpectedCapacity struct {
	Type, Zone string
	Spot       bool
	Free       sched.Resources
}

// Offer is a kind of machine that may be rented now.
type Offer struct {
	Type  *model.MachineType
	Zone  string
	Spot  bool
	Price float64
	// MachinesInZone is how many machines are in the zone already; equal offers go to
	// the zone with the fewest.
	MachinesInZone int
}

// Rental is a request to the cloud.
type Rental struct {
	Type, Zone string
	Spot       bool
	Count      int
	// Gangs are the jobs of use only all at once for which some of it is meant.
	Gangs []string
}

func fits(w *Demand, typ, zone string, spot bool) bool {
	j := w.Job
	return j.AllowsType(typ) && (j.Zone == "" || j.Zone == zone) && (j.Spot || !spot)
}

// Plan fills what is coming with the wants, in order, and rents for the rest,
// at most limit machines. For tasks that are of use only all at once nothing is
// rented where not all of them find room; unmet lists the jobs of those.
func Plan(wants []Demand, coming []ExpectedCapacity, offers []Offer, limit int) (rentals []Rental, unmet []string) {
	p := &plan{expected: coming, offers: slices.Clone(offers), rentalIndex: map[int]int{}, limit: limit}
	for i := range wants {
		w := &wants[i]
		if !w.AllOrNothing {
			p.satisfy(w)
			continue
		}
		before := p.clone()
		if p.satisfy(w) > 0 {
			*p = *before // a part of it would stand idle
			unmet = append(unmet, w.Job.ID)
		}
	}
	return p.rentals, unmet
}

// plan is what is rented so far, and the room that is left.
type plan struct {
	expected    []ExpectedCapacity
	offers      []Offer
	rentals     []Rental
	rentalIndex map[int]int // of an offer: its place in rentals
	limit       int
}

func (p *plan) clone() *plan {
	c := *p
	c.expected, c.offers, c.rentals, c.rentalIndex = slices.Clone(p.expected), slices.Clone(p.offers), slices.Clone(p.rentals), maps.Clone(p.rentalIndex)
	return &c
}

// openDemand is a want and what is left of it.
type openDemand struct {
	*Demand
	remaining    int
	placedByZone map[string]int // tasks that found room, by zone
}

// zoneAllowance is how many more tasks zone may take.
func (o *openDemand) zoneAllowance(zone string) int {
	if o.ZoneAllowance == nil {
		return math.MaxInt
	}
	return o.ZoneAllowance(zone) - o.placedByZone[zone]
}

// fill puts as many tasks as fit into free and returns what is left of it.
func (o *openDemand) fill(zone string, free sched.Resources) sched.Resources {
	for o.remaining > 0 && o.zoneAllowance(zone) > 0 && free.Fits(o.Need) {
		free = free.Sub(o.Need)
		o.placedByZone[zone]++
		o.remaining--
	}
	return free
}

// satisfy finds room for a want, rents what is missing, and returns how many tasks
// have found none.
func (p *plan) satisfy(w *Demand) int {
	o := &openDemand{Demand: w, remaining: w.Count, placedByZone: map[string]int{}}
	if w.OneZone && w.Job.Zone == "" {
		w.Job = withChosenZone(w, p.expected, p.offers)
	}
	for k := range p.expected {
		c := &p.expected[k]
		if fits(w, c.Type, c.Zone, c.Spot) {
			c.Free = o.fill(c.Zone, c.Free)
		}
	}
	for o.remaining > 0 && p.limit > 0 {
		best := p.cheapestOffer(o)
		if best < 0 {
			break
		}
		p.rent(best, o)
	}
	return o.remaining
}

// cheapestOffer is the offer that costs least a task, if its machine is filled as far
// as this want can fill it; -1 if none will do.
func (p *plan) cheapestOffer(o *openDemand) int {
	best, bestCost := -1, math.Inf(1)
	for k := range p.offers {
		f := &p.offers[k]
		capacity := f.capacity()
		if o.CanWait && !f.Spot || !fits(o.Demand, f.Type.Name, f.Zone, f.Spot) || o.zoneAllowance(f.Zone) <= 0 || !capacity.Fits(o.Need) {
			continue
		}
		cost := f.Price / float64(min(o.remaining, o.zoneAllowance(f.Zone), tasksThatFit(capacity, o.Need)))
		if cost < bestCost-1e-9 || math.Abs(cost-bestCost) <= 1e-9 && best >= 0 && f.MachinesInZone < p.offers[best].MachinesInZone {
			best, bestCost = k, cost
		}
	}
	return best
}

// rent adds a machine of an offer and fills it.
func (p *plan) rent(offer int, o *openDemand) {
	f := &p.offers[offer]
	f.MachinesInZone++
	p.limit--
	at, ok := p.rentalIndex[offer]
	if !ok {
		at = len(p.rentals)
		p.rentalIndex[offer] = at
		p.rentals = append(p.rentals, Rental{Type: f.Type.Name, Zone: f.Zone, Spot: f.Spot})
	}
	r := &p.rentals[at]
	r.Count++
	if o.AllOrNothing && !slices.Contains(r.Gangs, o.Job.ID) {
		r.Gangs = append(slices.Clone(r.Gangs), o.Job.ID)
	}
	p.expected = append(p.expected, ExpectedCapacity{f.Type.Name, f.Zone, f.Spot, o.fill(f.Zone, f.capacity())})
}

// capacity is the room of an empty machine.
func (o *Offer) capacity() sched.Resources {
	return sched.Resources{CPUs: o.Type.CPUs, GPUs: o.Type.GPUs, MemoryGB: o.Type.MemoryGB}
}

// withChosenZone picks the zone for tasks that must all be in one: where most of them
// find room, among those where the rest could be rented.
func withChosenZone(w *Demand, coming []ExpectedCapacity, offers []Offer) *model.Job {
	room := map[string]int{}
	for _, c := range coming {
		if fits(w, c.Type, c.Zone, c.Spot) {
			for free := c.Free; free.Fits(w.Need); free = free.Sub(w.Need) {
				room[c.Zone]++
			}
		}
	}
	best, most, fewest := "", -1, 0
	for _, o := range offers {
		if w.CanWait && !o.Spot || !fits(w, o.Type.Name, o.Zone, o.Spot) || !o.capacity().Fits(w.Need) {
			continue
		}
		if n := min(room[o.Zone], w.Count); n > most || n == most && (o.MachinesInZone < fewest || o.MachinesInZone == fewest && o.Zone < best) {
			best, most, fewest = o.Zone, n, o.MachinesInZone
		}
	}
	for zone, n := range room {
		if n >= w.Count && (most < w.Count || zone < best) {
			best, most = zone, w.Count
		}
	}
	j := *w.Job
	j.Zone = best // "": none to be had now
	return &j
}

// tasksThatFit is how many tasks of one need fill a capacity.
func tasksThatFit(capacity, need sched.Resources) int {
	n := math.Inf(1)
	for _, p := range [][2]float64{{capacity.CPUs, need.CPUs}, {capacity.GPUs, need.GPUs}, {capacity.MemoryGB, need.MemoryGB}} {
		if p[1] > 0 {
			n = min(n, math.Floor(p[0]/p[1]+1e-6))
		}
	}
	if math.IsInf(n, 1) {
		return 1
	}
	return max(int(n), 1)
}
