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

// Want is a number of like tasks that want room.
type Want struct {
	Job   *model.Job
	Need  sched.Resources
	Count int
	// Patient: no hurry yet, so only spot machines are rented for it.
	Patient bool
	// OneZone: all in one zone. Together: of use only all at once.
	OneZone, Together bool
	// PerZone is how many more tasks of the job each zone may take; nil: any.
	PerZone func(zone string) int
}

// Coming is a machine that has room or will have it soon.
type Coming struct {
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
	// Have is how many machines are in the zone already; equal offers go to
	// the zone with the fewest.
	Have int
}

// Rental is a request to the cloud.
type Rental struct {
	Type, Zone string
	Spot       bool
	Count      int
	// Gangs are the jobs of use only all at once for which some of it is meant.
	Gangs []string
}

func fits(w *Want, typ, zone string, spot bool) bool {
	j := w.Job
	return j.AllowsType(typ) && (j.Zone == "" || j.Zone == zone) && (j.Spot || !spot)
}

// Plan fills what is coming with the wants, in order, and rents for the rest,
// at most limit machines. For tasks that are of use only all at once nothing is
// rented where not all of them find room; unmet lists the jobs of those.
func Plan(wants []Want, coming []Coming, offers []Offer, limit int) (rentals []Rental, unmet []string) {
	p := &plan{coming: coming, offers: slices.Clone(offers), index: map[int]int{}, limit: limit}
	for i := range wants {
		w := &wants[i]
		if !w.Together {
			p.meet(w)
			continue
		}
		before := p.clone()
		if p.meet(w) > 0 {
			*p = *before // a part of it would stand idle
			unmet = append(unmet, w.Job.ID)
		}
	}
	return p.rentals, unmet
}

// plan is what is rented so far, and the room that is left.
type plan struct {
	coming  []Coming
	offers  []Offer
	rentals []Rental
	index   map[int]int // of an offer: its place in rentals
	limit   int
}

func (p *plan) clone() *plan {
	c := *p
	c.coming, c.offers, c.rentals, c.index = slices.Clone(p.coming), slices.Clone(p.offers), slices.Clone(p.rentals), maps.Clone(p.index)
	return &c
}

// open is a want and what is left of it.
type open struct {
	*Want
	left  int
	zones map[string]int // tasks that found room, by zone
}

// room is how many more tasks zone may take.
func (o *open) room(zone string) int {
	if o.PerZone == nil {
		return math.MaxInt
	}
	return o.PerZone(zone) - o.zones[zone]
}

// fill puts as many tasks as fit into free and returns what is left of it.
func (o *open) fill(zone string, free sched.Resources) sched.Resources {
	for o.left > 0 && o.room(zone) > 0 && free.Fits(o.Need) {
		free = free.Sub(o.Need)
		o.zones[zone]++
		o.left--
	}
	return free
}

// meet finds room for a want, rents what is missing, and returns how many tasks
// have found none.
func (p *plan) meet(w *Want) int {
	o := &open{Want: w, left: w.Count, zones: map[string]int{}}
	if w.OneZone && w.Job.Zone == "" {
		w.Job = inZone(w, p.coming, p.offers)
	}
	for k := range p.coming {
		c := &p.coming[k]
		if fits(w, c.Type, c.Zone, c.Spot) {
			c.Free = o.fill(c.Zone, c.Free)
		}
	}
	for o.left > 0 && p.limit > 0 {
		best := p.cheapest(o)
		if best < 0 {
			break
		}
		p.rent(best, o)
	}
	return o.left
}

// cheapest is the offer that costs least a task, if its machine is filled as far
// as this want can fill it; -1 if none will do.
func (p *plan) cheapest(o *open) int {
	best, bestCost := -1, math.Inf(1)
	for k := range p.offers {
		f := &p.offers[k]
		capacity := f.capacity()
		if o.Patient && !f.Spot || !fits(o.Want, f.Type.Name, f.Zone, f.Spot) || o.room(f.Zone) <= 0 || !capacity.Fits(o.Need) {
			continue
		}
		cost := f.Price / float64(min(o.left, o.room(f.Zone), holds(capacity, o.Need)))
		if cost < bestCost-1e-9 || math.Abs(cost-bestCost) <= 1e-9 && best >= 0 && f.Have < p.offers[best].Have {
			best, bestCost = k, cost
		}
	}
	return best
}

// rent adds a machine of an offer and fills it.
func (p *plan) rent(offer int, o *open) {
	f := &p.offers[offer]
	f.Have++
	p.limit--
	at, ok := p.index[offer]
	if !ok {
		at = len(p.rentals)
		p.index[offer] = at
		p.rentals = append(p.rentals, Rental{Type: f.Type.Name, Zone: f.Zone, Spot: f.Spot})
	}
	r := &p.rentals[at]
	r.Count++
	if o.Together && !slices.Contains(r.Gangs, o.Job.ID) {
		r.Gangs = append(slices.Clone(r.Gangs), o.Job.ID)
	}
	p.coming = append(p.coming, Coming{f.Type.Name, f.Zone, f.Spot, o.fill(f.Zone, f.capacity())})
}

// capacity is the room of an empty machine.
func (o *Offer) capacity() sched.Resources {
	return sched.Resources{CPUs: o.Type.CPUs, GPUs: o.Type.GPUs, MemoryGB: o.Type.MemoryGB}
}

// inZone picks the zone for tasks that must all be in one: where most of them
// find room, among those where the rest could be rented.
func inZone(w *Want, coming []Coming, offers []Offer) *model.Job {
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
		if w.Patient && !o.Spot || !fits(w, o.Type.Name, o.Zone, o.Spot) || !o.capacity().Fits(w.Need) {
			continue
		}
		if n := min(room[o.Zone], w.Count); n > most || n == most && (o.Have < fewest || o.Have == fewest && o.Zone < best) {
			best, most, fewest = o.Zone, n, o.Have
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

// holds is how many tasks of one need fill a capacity.
func holds(capacity, need sched.Resources) int {
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
