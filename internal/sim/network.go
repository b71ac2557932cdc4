package sim

import "time"

// The network between all hosts.

// link is a direction of the network between two hosts.
type link struct {
	mode string // "", "drop" or "hold"
	held []func()
}

// Cut breaks the network between two hosts, both ways. mode "drop" loses
// packets, "hold" delivers them when the cut is healed.
func (w *Simulation) Cut(a, b, mode string) {
	w.link(a, b).mode = mode
	w.link(b, a).mode = mode
}

// Heal mends it; what was held is delivered late.
func (w *Simulation) Heal(a, b string) {
	for _, l := range []*link{w.link(a, b), w.link(b, a)} {
		l.mode = ""
		held := l.held
		l.held = nil
		for _, f := range held {
			w.After(w.latency(), f)
		}
	}
}

func (w *Simulation) link(a, b string) *link {
	k := [2]string{a, b}
	if w.links[k] == nil {
		w.links[k] = &link{}
	}
	return w.links[k]
}

func (w *Simulation) latency() time.Duration {
	return time.Millisecond + time.Duration(w.Rand.Int64N(int64(4*time.Millisecond)))
}

// send delivers f from a to b, or not.
func (w *Simulation) send(a, b string, f func()) {
	l := w.link(a, b)
	switch l.mode {
	case "drop":
	case "hold":
		l.held = append(l.held, f)
	default:
		w.After(w.latency(), f)
	}
}

// maybeRepeat runs f once more, by a moment or by well over a lease later, for a
// part of the requests.
func (w *Simulation) maybeRepeat(f func()) {
	if w.RepeatFraction > 0 && w.Rand.Float64() < w.RepeatFraction {
		w.After(time.Second+time.Duration(w.Rand.Int64N(int64(3*w.Options.Config.Lease))), f)
	}
}
