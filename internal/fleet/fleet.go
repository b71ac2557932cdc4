// Package fleet plans which machines to rent for tasks without capacity. From the demand,
// the expected capacity and the offers of the cloud alone, Plan computes the rentals that
// are missing.
package fleet

import (
	"maps"
	"math"
	"slices"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// Demand is a number of tasks of one job that need capacity.
type Demand struct {
	Job   *model.Job
	Need  sched.Resources // of one task
	Count int
	// CanWait says that the tasks are not urgent, so that only spot machines, which are
	// cheaper, are rented for them.
	CanWait bool
	// OneZone says that all tasks must be in one zone, AllOrNothing that they can only run
	// all at once.
	OneZone, AllOrNothing bool
	// ZoneAllowance is how many more tasks of the job each zone may take; nil: any number.
	ZoneAllowance func(zone string) int
}

// ExpectedCapacity is a machine that has free capacity or will have it soon.
type ExpectedCapacity struct {
	Type, Zone string
	Spot       bool
	Free       sched.Resources
}

// Offer is a kind of machine that the cloud may rent now.
type Offer struct {
	Type  *model.MachineType
	Zone  string
	Spot  bool
	Price float64
	// MachinesInZone is how many machines are in the zone already. Of offers with equal
	// cost, the one in the zone with the fewest machines is taken.
	MachinesInZone int
}

// MaxRequestCount is how many machines one rental request may ask for (PROTOCOL, /machines).
const MaxRequestCount = 50

// maxPlanned is how many machines of one offer are planned one by one, so that several jobs can
// share them: as many as a few requests bring.
const maxPlanned = 4 * MaxRequestCount

// Rental is a number of machines to rent of one offer. Beyond maxPlanned, Count says how many
// would be needed; the capacity of those machines is not planned.
type Rental struct {
	Type, Zone string
	Spot       bool
	Count      int
	// Gangs are the ids of the all-or-nothing jobs for which some of the machines are meant.
	Gangs []string
}

// fits says whether the demand's job may use machines of a type, in a zone, spot or not.
func fits(demand *Demand, typeName, zone string, spot bool) bool {
	j := demand.Job
	return j.AllowsType(typeName) && (j.Zone == "" || j.Zone == zone) && (j.Spot || !spot)
}

// Plan places the demands, in order, on the expected capacity, and rents machines for the
// rest, at most limit. It rents none for an all-or-nothing demand that it can't place as a
// whole; unmet lists the ids of the jobs of such demands. Plan overwrites elements of demands
// and expected. Its time and memory are bounded by the expected capacity and by maxPlanned
// machines of each offer, however many tasks wait.
func Plan(demands []Demand, expected []ExpectedCapacity, offers []Offer, limit int) (rentals []Rental, unmet []string) {
	p := &plan{expected: expected, offers: slices.Clone(offers), rentalIndex: map[int]int{}, limit: limit}
	lastGang := lastAllOrNothing(demands)
	for i := range demands {
		if i > lastGang && p.isComplete() {
			break
		}
		demand := &demands[i]
		if !demand.AllOrNothing {
			p.satisfy(demand)
			continue
		}
		before := p.clone()
		if p.satisfy(demand) > 0 {
			*p = *before // machines for a part of it would be idle
			unmet = append(unmet, demand.Job.ID)
		}
	}
	return p.rentals, unmet
}

// lastAllOrNothing returns the index of the last all-or-nothing demand, or -1.
func lastAllOrNothing(demands []Demand) int {
	for i := len(demands) - 1; i >= 0; i-- {
		if demands[i].AllOrNothing {
			return i
		}
	}
	return -1
}

// plan is the state of a call of Plan.
type plan struct {
	expected    []ExpectedCapacity // with the capacity that is left
	offers      []Offer
	rentals     []Rental
	rentalIndex map[int]int // index in rentals, by the index of the offer
	limit       int         // how many more machines may be rented
}

// isComplete reports whether no further demand can add a machine to the next requests.
func (p *plan) isComplete() bool {
	if p.limit <= 0 {
		return true
	}
	for index := range p.offers {
		if !p.isFullyPlanned(index) {
			return false
		}
	}
	return true
}

// clone copies the plan, so that a failed placement can be undone.
func (p *plan) clone() *plan {
	copied := *p
	copied.expected, copied.offers, copied.rentals, copied.rentalIndex = slices.Clone(p.expected), slices.Clone(p.offers), slices.Clone(p.rentals), maps.Clone(p.rentalIndex)
	return &copied
}

// openDemand is a demand during its placement.
type openDemand struct {
	*Demand
	remaining    int            // tasks not placed yet
	placedByZone map[string]int // tasks placed so far, by zone
}

// zoneAllowance is how many more tasks zone may take.
func (o *openDemand) zoneAllowance(zone string) int {
	if o.ZoneAllowance == nil {
		return math.MaxInt
	}
	return o.ZoneAllowance(zone) - o.placedByZone[zone]
}

// fill places as many tasks as fit into the capacity of a machine, and returns the capacity
// that is left.
func (o *openDemand) fill(zone string, capacity sched.Resources) sched.Resources {
	count := sched.TasksThatFit(capacity, o.Need, min(o.remaining, o.zoneAllowance(zone)))
	o.place(zone, count)
	return capacity.Sub(o.Need.Times(count))
}

// place counts tasks as placed in a zone.
func (o *openDemand) place(zone string, count int) {
	o.placedByZone[zone] += count
	o.remaining -= count
}

// satisfy places a demand on the expected capacity, rents machines for the rest, and returns
// how many tasks it could not place.
func (p *plan) satisfy(demand *Demand) int {
	open := &openDemand{Demand: demand, remaining: demand.Count, placedByZone: map[string]int{}}
	if demand.OneZone && demand.Job.Zone == "" {
		demand.Job = withChosenZone(demand, p.expected, p.offers)
	}
	p.useExpected(open)
	for open.remaining > 0 && p.limit > 0 {
		offerIndex := p.cheapestOffer(open)
		if offerIndex < 0 {
			break
		}
		if p.isFullyPlanned(offerIndex) {
			p.postpone(offerIndex, open)
		} else {
			p.rent(offerIndex, open)
		}
	}
	return open.remaining
}

// useExpected places tasks of a demand on the expected capacity. It drops the machines that
// have no capacity left, so that they cost no time for the later demands.
func (p *plan) useExpected(open *openDemand) {
	kept := p.expected[:0]
	for _, machine := range p.expected {
		if open.remaining > 0 && fits(open.Demand, machine.Type, machine.Zone, machine.Spot) {
			machine.Free = open.fill(machine.Zone, machine.Free)
		}
		if machine.Free.CPUs > 0 && machine.Free.MemoryGB > 0 {
			kept = append(kept, machine)
		}
	}
	p.expected = kept
}

// cheapestOffer returns the index of the offer with the lowest price per task, when as many
// tasks of the demand as possible are placed on the machine. Of equal ones, those that are
// not fully planned come first, then the zone with the fewest machines. It returns -1 if no offer
// suits.
func (p *plan) cheapestOffer(open *openDemand) int {
	bestIndex, bestCost := -1, math.Inf(1)
	for index := range p.offers {
		offer := &p.offers[index]
		capacity := offer.capacity()
		if open.CanWait && !offer.Spot || !fits(open.Demand, offer.Type.Name, offer.Zone, offer.Spot) || open.zoneAllowance(offer.Zone) <= 0 || !capacity.Fits(open.Need) {
			continue
		}
		cost := offer.Price / float64(sched.TasksThatFit(capacity, open.Need, min(open.remaining, open.zoneAllowance(offer.Zone))))
		if cost < bestCost-1e-9 || math.Abs(cost-bestCost) <= 1e-9 && bestIndex >= 0 && p.isPreferred(index, bestIndex) {
			bestIndex, bestCost = index, cost
		}
	}
	return bestIndex
}

// isPreferred reports whether offer a is preferred to offer b, which costs as much.
func (p *plan) isPreferred(a, b int) bool {
	if p.isFullyPlanned(a) != p.isFullyPlanned(b) {
		return p.isFullyPlanned(b)
	}
	return p.offers[a].MachinesInZone < p.offers[b].MachinesInZone
}

// isFullyPlanned reports whether no further machine of an offer is planned one by one.
func (p *plan) isFullyPlanned(index int) bool {
	position, ok := p.rentalIndex[index]
	return ok && p.rentals[position].Count >= maxPlanned
}

// rent adds a machine of an offer to the rentals and places tasks on it.
func (p *plan) rent(index int, open *openDemand) {
	offer := &p.offers[index]
	p.addToRental(index, 1, open)
	p.expected = append(p.expected, ExpectedCapacity{offer.Type.Name, offer.Zone, offer.Spot, open.fill(offer.Zone, offer.capacity())})
}

// postpone sets aside the tasks of a demand for which machines of an offer can be rented only
// after several requests. It counts these machines, all at once, and plans nothing for their
// capacity: with a plan of each machine, an array of 100,000 tasks took the memory of the leader.
func (p *plan) postpone(index int, open *openDemand) {
	offer := &p.offers[index]
	tasks := min(open.remaining, open.zoneAllowance(offer.Zone))
	tasksPerMachine := sched.TasksThatFit(offer.capacity(), open.Need, tasks)
	machines := min((tasks+tasksPerMachine-1)/tasksPerMachine, p.limit)
	open.place(offer.Zone, min(tasks, machines*tasksPerMachine))
	p.addToRental(index, machines, open)
}

// addToRental adds machines of an offer to the rentals.
func (p *plan) addToRental(index, machines int, open *openDemand) {
	offer := &p.offers[index]
	offer.MachinesInZone += machines // other offers in this zone keep their number
	p.limit -= machines
	position, ok := p.rentalIndex[index]
	if !ok {
		position = len(p.rentals)
		p.rentalIndex[index] = position
		p.rentals = append(p.rentals, Rental{Type: offer.Type.Name, Zone: offer.Zone, Spot: offer.Spot})
	}
	rental := &p.rentals[position]
	rental.Count += machines
	if open.AllOrNothing && !slices.Contains(rental.Gangs, open.Job.ID) {
		rental.Gangs = append(slices.Clone(rental.Gangs), open.Job.ID) // a clone of the plan may share the slice
	}
}

// capacity is the capacity of an empty machine of this offer.
func (o *Offer) capacity() sched.Resources {
	return sched.MachineCapacity(o.Type.CPUs, o.Type.GPUs, o.Type.MemoryGB)
}

// withChosenZone returns a copy of the job of a one-zone demand, with the zone chosen: the
// one whose expected capacity takes most of the tasks. Unless it takes all of them, the zone
// must have an offer for the rest. Of several zones that take all, the first by name is
// chosen, and of other equal ones the one with the fewest machines.
func withChosenZone(demand *Demand, expected []ExpectedCapacity, offers []Offer) *model.Job {
	placeable := map[string]int{}
	for _, machine := range expected {
		if fits(demand, machine.Type, machine.Zone, machine.Spot) {
			placeable[machine.Zone] += sched.TasksThatFit(machine.Free, demand.Need, demand.Count)
		}
	}
	bestZone, bestPlaceable, bestMachines := "", -1, 0
	for _, offer := range offers {
		if demand.CanWait && !offer.Spot || !fits(demand, offer.Type.Name, offer.Zone, offer.Spot) || !offer.capacity().Fits(demand.Need) {
			continue
		}
		if n := min(placeable[offer.Zone], demand.Count); n > bestPlaceable || n == bestPlaceable && (offer.MachinesInZone < bestMachines || offer.MachinesInZone == bestMachines && offer.Zone < bestZone) {
			bestZone, bestPlaceable, bestMachines = offer.Zone, n, offer.MachinesInZone
		}
	}
	for zone, n := range placeable {
		if n >= demand.Count && (bestPlaceable < demand.Count || zone < bestZone) {
			bestZone, bestPlaceable = zone, demand.Count
		}
	}
	job := *demand.Job
	job.Zone = bestZone // "" if no zone suits now
	return &job
}
