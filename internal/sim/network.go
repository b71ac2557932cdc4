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
func (w *World) Cut(a, b, mode string) {
	w.link(a, b).mode = mode
	w.link(b, a).mode = mode
}

// Heal mends it; what was held is delivered late.
func (w *World) Heal(a, b string) {
	for _, l := range []*link{w.link(a, b), w.link(b, a)} {
		l.mode = ""
		held := l.held
		l.held = nil
		for _, f := range held {
			w.After(w.latency(), f)
		}
	}
}

func (w *World) link(a, b string) *link {
	k := [2]string{a, b}
	if w.links[k] == nil {
		w.links[k] = &link{}
	}
	return w.links[k]
}

func (w *World) latency() time.Duration {
	return time.Millisecond + time.Duration(w.Rnd.Int64N(int64(4*time.Millisecond)))
}

// send delivers f from a to b, or not.
func (w *World) send(a, b string, f func()) {
	l := w.link(a, b)
	switch l.mode {
	case "drop":
	case "hold":
		l.held = append(l.held, f)
	default:
		w.After(w.latency(), f)
	}
}

// repeat runs f once more, by a moment or by well over a lease later, for a
// part of the requests.
func (w *World) repeat(f func()) {
	if w.Repeats > 0 && w.Rnd.Float64() < w.Repeats {
		w.After(time.Second+time.Duration(w.Rnd.Int64N(int64(3*w.Opt.Config.Lease))), f)
	}
}
