package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/model"
)

// A machine can be mute to us in one direction: its reports arrive, but
// answers and commands don't reach it. It then looks healthy, while what is
// sent to it never starts, its lease runs out, and each new session draws the
// same work again because it holds the image. A report received is neither a
// lease renewed nor an order carried out, so the leader looks for signs that
// its answers arrive: the epoch that they carried and the starts.

// muteness is what a leader knows of that.
type muteness struct {
	is      bool
	signs   int    // reports in a row that show nothing of our answers
	session uint64 // in which it was found
	epoch   uint64 // whoever shows it has heard us since
	since   time.Duration
	probeAt time.Duration // no answer before
	pause   time.Duration
}

// muteSigns is how many reports in a row must show that an answer didn't
// arrive: one can be lost.
const muteSigns = 2

// unheard looks for signs of our answers in a report that has just been taken.
func (s *State) unheard(m *machine, r *model.Report) {
	switch {
	case m.mute.is:
		if r.Epoch >= m.mute.epoch {
			s.log(slog.LevelInfo, "machine hears again", "host", m.host, "term", s.tenure.Term)
			m.mute = muteness{}
			s.dirty = true
		}
	case m.toldSeq == 0 || r.Seq <= m.toldSeq:
		// Not answered in this session yet.
	case r.Epoch >= m.told && !s.unstarted(m, r):
		m.mute.signs = 0
	default:
		if m.mute.signs++; m.mute.signs >= muteSigns {
			s.setMute(m, "its reports show nothing of the answers")
		}
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

// setMute gives m no work and no answers until its session has ended; then it
// is tried again, with pauses that grow.
func (s *State) setMute(m *machine, why string) {
	if m.mute.is {
		return
	}
	s.log(slog.LevelInfo, "machine is out of earshot", "host", m.host, "why", why, "term", s.tenure.Term)
	s.raiseFence(m)
	m.mute = muteness{is: true, session: m.session, epoch: s.epoch(m), since: s.now, probeAt: s.now, pause: s.cfg.ReportEvery}
	s.dirty = true
}

// probeMute says whether a report of m is answered, to see whether the answer
// arrives. In the session in which it was found out none is: an answer that
// arrives after all would renew a lease whose end is waited for.
func (s *State) probeMute(m *machine) bool {
	if m.session == m.mute.session || s.now < m.mute.probeAt {
		return false
	}
	m.mute.probeAt = s.now + m.mute.pause
	m.mute.pause = min(2*m.mute.pause, 2*s.cfg.Lease)
	return true
}

// muteTooLong says whether m is to be returned.
func (s *State) muteTooLong(m *machine) bool {
	return m.mute.is && s.now-m.mute.since > 3*s.cfg.Lease && s.othersReport()
}
