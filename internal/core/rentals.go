package core

import (
	"fmt"
	"log/slog"
	"math"
	"time"

	"mulleinfall/internal/fleet"
)

// This file rents machines from the cloud.

// rentMissing rents machines for waiting tasks that no present or expected machine has
// capacity for, and for the capacity to keep free for services and gangs.
func (s *State) rentMissing() {
	if s.rentalsInFlight > 0 {
		return // machines that are being requested must not be requested twice
	}
	demands := s.demands()
	if len(demands) == 0 {
		return
	}
	machinesByZone := map[string]int{}
	for _, m := range s.machinesByName {
		machinesByZone[m.zone]++
	}
	rentals, unmet := fleet.Plan(demands, s.expectedCapacity(), s.offers(machinesByZone), s.rentalLimit())
	for _, id := range unmet {
		s.postponeRentals(id)
	}
	for _, r := range rentals {
		s.requestRental(r)
	}
}

// rentalLimit is how many more machines the operators allow.
func (s *State) rentalLimit() int {
	if s.cfg.MaxMachines == 0 {
		return math.MaxInt
	}
	limit := s.cfg.MaxMachines - len(s.machines)
	if limit <= 0 && !s.limitLogged {
		s.limitLogged = true
		s.log(slog.LevelWarn, "reached the number of machines that the operators allow: renting no more", "max_machines", s.cfg.MaxMachines, "term", s.leadership.Term)
	}
	return limit
}

// maxRentPauseDoublings is how often the pause doubles between rentals for a gang that can't
// get all its machines: from one lease to 2^6 leases.
const maxRentPauseDoublings = 6

// postponeRentals handles the gang of the job id, for which not all machines that it needs
// can be rented now: the cloud has too few, or the operators' limit is reached. The machines
// that were rented for it stay idle and are returned. So further rentals wait for a pause
// that doubles; otherwise such machines would be rented and paid for again and again as long
// as the gang waits.
func (s *State) postponeRentals(id string) {
	j := s.active[id]
	if j == nil || !j.gang.machinesRented {
		return // no machines were rented, so there is no cost, and enough may be available soon
	}
	j.gang.machinesRented = false
	j.gang.nextRentalAt = s.now + s.cfg.Lease<<min(j.gang.rentPauses, maxRentPauseDoublings)
	j.gang.rentPauses++
}

// maxRentalsInFlight bounds the rental requests under way.
const maxRentalsInFlight = 4

// requestRental requests machines from the cloud. The name of the request contains the
// term and a number, so that no two requests have the same name. A retry of an unanswered
// request uses the same name again, so that it is not carried out twice.
func (s *State) requestRental(rental fleet.Rental) {
	if s.rentalsInFlight >= maxRentalsInFlight {
		return // the rental is planned again once the requests under way are answered
	}
	s.lastRentalNumber++
	request := fmt.Sprintf("r-%d-%d", s.leadership.Term, s.lastRentalNumber)
	s.sendRental(request, rental, 0)
}

// sendRental sends a rental request, and repeats it up to three times if it has no answer.
// A request is for fleet.MaxRequestCount machines at most; the rest is planned again.
func (s *State) sendRental(request string, rental fleet.Rental, retries int) {
	leadership := s.leadership
	key := offerKey{rental.Type, rental.Zone, rental.Spot}
	count := min(rental.Count, fleet.MaxRequestCount)
	sent := s.callCloud(CloudCall{Op: CloudRent, Request: request, Type: rental.Type, Zone: rental.Zone, Spot: rental.Spot, Count: count}, func(result CloudResult) {
		if s.leadership != leadership {
			return
		}
		s.rentalsInFlight--
		switch result.Status {
		case 200:
			s.markGangsRented(rental.Gangs)
			s.log(slog.LevelInfo, "rented", "request", request, "type", rental.Type, "zone", rental.Zone, "spot", rental.Spot, "asked", rental.Count, "got", len(result.Hosts), "term", leadership.Term)
			for _, host := range result.Hosts {
				m := s.ensureMachine(host)
				if !m.hasReported {
					m.rentedAt = s.now
				}
				m.preexisting = false // it may have reported before this answer came
				s.describeMachine(m, "", rental.Type, rental.Zone, rental.Spot)
			}
			if len(result.Hosts) < count {
				s.recordRefusal(key)
			} else {
				delete(s.refusedOffers, key)
			}
		case 0:
			s.rentalUnconfirmed = true
			if retries < 3 {
				s.sendRental(request, rental, retries+1)
			}
		default:
			s.recordRefusal(key)
		}
	})
	if sent {
		s.rentalsInFlight++
	}
}

// markGangsRented records that machines were rented for gangs.
func (s *State) markGangsRented(gangs []string) {
	for _, id := range gangs {
		if j := s.active[id]; j != nil {
			j.gang.machinesRented = true
		}
	}
}

// recordRefusal records that the cloud did not rent all machines requested of an offer. The
// offer is not requested again for half a lease, after repeated refusals for a lease.
func (s *State) recordRefusal(key offerKey) {
	r := s.refusedOffers[key]
	if r == nil {
		r = &refusal{}
		s.refusedOffers[key] = r
	}
	r.count++
	r.retryAt = s.now + s.cfg.Lease/2<<min(r.count-1, 1)
}

// offerKey identifies a kind of machine that the cloud offers.
type offerKey struct {
	typeName, zone string
	spot           bool
}

// refusal is how often the cloud has refused an offer, and when to request it again.
type refusal struct {
	retryAt time.Duration
	count   int
}
