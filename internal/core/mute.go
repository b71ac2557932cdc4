package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/model"
)

// A machine can be out of earshot: its reports arrive, but answers and
// commands don't reach it. It then looks healthy, while what is sent to it
// never starts, its lease runs out, and each new session draws the same work
// again because it holds the image. A report received is neither a lease
// renewed nor an order carried out, so the leader looks for signs that its
// answers arrive: the epoch that they carried and the starts.

// muteness is what a leader knows of that.
type muteness struct {
	is    bool
	signs int           // in a row that it doesn't get what it is sent
	times int           // how often it was found so
	epoch uint64        // whoever shows it has heard us since
	since time.Duration // the first time
	until time.Duration // not trusted before
}

// muteSigns is how many signs in a row make a machine mute: one answer or
// command can be lost.
const muteSigns = 2

// unheard looks for signs of our answers in a machine's own report.
func (s *State) unheard(m *machine, r *model.Report) {
	switch {
	case m.mute.is || m.toldSeq == 0 || r.Seq <= m.toldSeq:
		// Known, or not answered in this session yet.
	case r.Epoch >= m.told && !s.unstarted(m, r):
		m.mute.signs = 0
	default:
		s.unreachable(m)
	}
}

// unreachable counts one sign that nothing reaches m.
func (s *State) unreachable(m *machine) {
	if m.mute.signs++; m.mute.signs >= muteSigns {
		s.setMute(m, "it reports, but shows nothing of what it is sent")
	}
}

// unstarted says whether a start that was sent in an answer before this report
// is not in it.
func (s *State) unstarted(m *machine, r *model.Report) bool {
	for _, t := range m.tasks {
		if t.state == "" && !t.killing && t.directEpoch == 0 && t.issuedSeq != 0 && r.Seq > t.issuedSeq && t.session == r.Session {
			return true
		}
	}
	return false
}

// setMute gives m no work and no answers any more, so that its session is sure
// to end and its tasks can run elsewhere. It is trusted again once it shows an
// epoch that only a command from now on carries, later each time.
func (s *State) setMute(m *machine, why string) {
	if m.mute.is {
		return
	}
	s.raiseFence(m)
	m.mute.is, m.mute.signs, m.mute.epoch = true, 0, s.epoch(m)
	m.mute.until = s.now + time.Duration(m.mute.times)*s.cfg.Lease
	if m.mute.times++; m.mute.times == 1 {
		m.mute.since = s.now
	}
	s.log(slog.LevelInfo, "machine is out of earshot", "host", m.host, "why", why, "term", s.tenure.Term)
	s.dirty = true
}

// hears ends that when a report shows that a command has arrived.
func (s *State) hears(m *machine, r *model.Report) {
	if m.mute.is && r.Epoch >= m.mute.epoch && s.now >= m.mute.until {
		m.mute.is = false
		s.log(slog.LevelInfo, "machine hears again", "host", m.host, "term", s.tenure.Term)
		s.dirty = true
	}
}

// muteTooLong says whether m is to be returned: it is out of earshot for long
// or again and again. Where commands arrive and only answers don't, each
// session of it would otherwise end whatever runs longer than a lease.
func (s *State) muteTooLong(m *machine) bool {
	return m.mute.is && (s.now-m.mute.since > 3*s.cfg.Lease || m.mute.times > 2) && s.othersReport()
}
