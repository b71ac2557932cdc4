package sim

import "time"

// This file simulates the network between all hosts. A host is identified by the name of a
// controller, the endpoint of a worker, "state", "cloud" or "users". Late copies of reports
// come from a host "copy".

// link is one direction of the network between two hosts.
type link struct {
	mode string   // "" (delivers), "drop" or "hold"
	held []func() // deliveries that wait for Heal
}

// Cut interrupts the network between two hosts in both directions. Mode "drop"
// loses messages; mode "hold" delivers them after Heal. Messages that were sent before
// the cut still arrive.
func (s *Simulation) Cut(a, b, mode string) {
	s.link(a, b).mode = mode
	s.link(b, a).mode = mode
}

// Heal restores the network between two hosts and delivers the messages held.
func (s *Simulation) Heal(a, b string) {
	for _, l := range []*link{s.link(a, b), s.link(b, a)} {
		l.mode = ""
		held := l.held
		l.held = nil
		for _, f := range held {
			s.After(s.latency(), f)
		}
	}
}

// link returns the link from a to b, which it creates on first use.
func (s *Simulation) link(a, b string) *link {
	k := [2]string{a, b}
	if s.links[k] == nil {
		s.links[k] = &link{}
	}
	return s.links[k]
}

// latency returns a random delivery time of 1 to 5 ms.
func (s *Simulation) latency() time.Duration {
	return time.Millisecond + time.Duration(s.Rand.Int64N(int64(4*time.Millisecond)))
}

// send delivers a message from a to b: it runs f after the network latency, holds
// it until Heal, or drops it, depending on the mode of the link.
func (s *Simulation) send(a, b string, f func()) {
	l := s.link(a, b)
	switch l.mode {
	case "drop":
	case "hold":
		l.held = append(l.held, f)
	default:
		s.After(s.latency(), f)
	}
}

// maybeRepeat runs f with the probability RepeatFraction, after 1 s plus a random time of
// up to three leases. f carries a request out a second time.
func (s *Simulation) maybeRepeat(f func()) {
	if s.RepeatFraction > 0 && s.Rand.Float64() < s.RepeatFraction {
		s.After(time.Second+time.Duration(s.Rand.Int64N(int64(3*s.Options.Config.Lease))), f)
	}
}
