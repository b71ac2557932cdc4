package core

import (
	"fmt"
	"log/slog"
	"math"
	"time"

	"mulleinfall/internal/fleet"
)

// Renting: what waits against what is there and on its way.

// rentMissing rents for the tasks that found no room, and for the room to keep
// free for services and gangs.
func (s *State) rentMissing() {
	if s.rentalsInFlight > 0 {
		return // what is asked for already must not be asked for twice
	}
	wants := s.demands()
	if len(wants) == 0 {
		return
	}
	have := map[string]int{}
	for _, m := range s.machinesByName {
		have[m.zone]++
	}
	rentals, unmet := fleet.Plan(wants, s.expectedCapacity(), s.offers(have), s.rentalLimit())
	for _, id := range unmet {
		s.postponeRentals(id)
	}
	for _, r := range rentals {
		s.requestRental(r)
	}
}

// rentalLimit is how many machines more the operators allow.
func (s *State) rentalLimit() int {
	if s.cfg.MaxMachines == 0 {
		return math.MaxInt
	}
	limit := s.cfg.MaxMachines - len(s.machines)
	if limit <= 0 && !s.limitLogged {
		s.limitLogged = true
		s.log(slog.LevelWarn, "as many machines as the operators allow: nothing more is rented", "max_machines", s.cfg.MaxMachines, "term", s.leadership.Term)
	}
	return limit
}

// maxRentPauses bounds the pause between rentals for a gang that the cloud can't
// satisfy: 2^6 leases.
const maxRentPauses = 6

// postponeRentals takes that the cloud doesn't give all that a gang needs. What
// was rented for it stands idle and goes back; asked for again and again it would
// cost its price for as long as the gang waits.
func (s *State) postponeRentals(id string) {
	j := s.active[id]
	if j == nil || !j.gang.machinesRented {
		return // nothing was spent: a machine may be had at any moment
	}
	j.gang.machinesRented = false
	j.gang.nextRentalAt = s.now + s.cfg.Lease<<min(j.gang.rentPauses, maxRentPauses)
	j.gang.rentPauses++
}

// requestRental asks the cloud for machines. The name is built from the term, so that
// no two requests ever share one; a repeat after silence uses the same.
func (s *State) requestRental(r fleet.Rental) {
	if s.rentalsInFlight >= 4 {
		return
	}
	s.lastRentalNumber++
	name := fmt.Sprintf("r-%d-%d", s.leadership.Term, s.lastRentalNumber)
	s.sendRental(name, r, 0)
}

func (s *State) sendRental(name string, r fleet.Rental, try int) {
	leadership := s.leadership
	key := offerKey{r.Type, r.Zone, r.Spot}
	ok := s.callCloud(CloudCall{Op: CloudRent, Request: name, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: min(r.Count, 50)}, func(d CloudResult) {
		if s.leadership != leadership {
			return
		}
		s.rentalsInFlight--
		switch d.Status {
		case 200:
			s.markGangsRented(r.Gangs)
			s.log(slog.LevelInfo, "rented", "request", name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", len(d.Hosts), "term", leadership.Term)
			for _, h := range d.Hosts {
				m := s.ensureMachine(h)
				if !m.hasReported {
					m.rentedAt = s.now
				}
				m.preexisting = false // up before the answer that names it
				s.describeMachine(m, "", r.Type, r.Zone, r.Spot)
			}
			if len(d.Hosts) < min(r.Count, 50) {
				s.recordRefusal(key)
			} else {
				delete(s.refusedOffers, key)
			}
		case 0:
			s.rentalUnconfirmed = true
			if try < 3 {
				s.sendRental(name, r, try+1)
			}
		default:
			s.recordRefusal(key)
		}
	})
	if ok {
		s.rentalsInFlight++
	}
}

// markGangsRented notes that machines were rented for gangs.
func (s *State) markGangsRented(gangs []string) {
	for _, id := range gangs {
		if j := s.active[id]; j != nil {
			j.gang.machinesRented = true
		}
	}
}

func (s *State) recordRefusal(key offerKey) {
	r := s.refusedOffers[key]
	if r == nil {
		r = &refusal{}
		s.refusedOffers[key] = r
	}
	r.count++
	r.retryAt = s.now + s.cfg.Lease/2<<min(r.count-1, 1)
}

type offerKey struct {
	typeName, zone string
	spot           bool
}

type refusal struct {
	retryAt time.Duration
	count   int
}
