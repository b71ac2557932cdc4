package core

import (
	"encoding/json"
	"log/slog"
	"slices"
	"strconv"
	"time"
)

// rosterState is the leader's view of the roster.
type rosterState struct {
	pages    map[int]*page
	rosterAt time.Duration // pages are written again; not before
	// silenceAt is when machines are next looked at for their silence.
	silenceAt time.Duration
}

// rosterValue is a machine in the state service: written before the machine
// is given its first task, so that a successor knows whom to ask.
type rosterValue struct {
	Endpoint string `json:"endpoint"`
	Type     string `json:"type"`
	Zone     string `json:"zone"`
	Spot     bool   `json:"spot,omitempty"`
	Standing bool   `json:"standing,omitempty"`
	// SilentSince says that the machine has not been answered since this time of day
	// (ms): see recordSilence.
	SilentSince int64 `json:"quiet,omitempty"`
}

// bytes bounds what the machine takes in its page.
func (m *machine) rosterBytes() int {
	return 128 + len(m.host) + len(m.endpoint) + len(m.typeName) + len(m.zone)
}

// page is the leader's view of one slice of the roster. Many machines share a
// key: one key each would take the largest fleets minutes to write.
type page struct {
	dirty, writing bool
	bytes          int
	owned          int // machines, when the term began
	// after are pages that take machines over from this one: they go first, so
	// that each machine is always on one of them.
	after []int
}

// pageChanged takes a page of the roster.
func (s *State) pageChanged(name string, it Item) {
	n, err := strconv.Atoi(name)
	if err != nil || n < 1 {
		return
	}
	var hosts map[string]rosterValue
	if !it.Removed {
		if err := json.Unmarshal(it.Value, &hosts); err != nil {
			s.log(slog.LevelError, "unreadable roster", "page", n, "error", err.Error())
			return
		}
	}
	listed := ordered(hosts)
	for _, host := range listed {
		v := hosts[host]
		m := s.machine(host)
		m.pageStored, m.rostered, m.standing = n, true, v.Standing
		m.silentStored, m.silentRead = v.SilentSince, v.SilentSince
		if !s.ready || m.page == 0 {
			m.page = n // a leader's own wish stands: it may be moving the machine
		}
		s.describe(m, v.Endpoint, v.Type, v.Zone, v.Spot)
	}
	s.strikeUnlisted(n, hosts)
	s.pageHosts[n] = listed
}

// strikeUnlisted takes the machines off the roster that were on a page when it was
// last read, and aren't now. It goes over that page only: to look at the whole fleet
// for each page made a full read grow with its square.
func (s *State) strikeUnlisted(n int, hosts map[string]rosterValue) {
	for _, host := range s.pageHosts[n] {
		m := s.machines[host]
		if _, on := hosts[host]; m != nil && m.pageStored == n && m.rostered && !on {
			m.page, m.pageStored = 0, 0
			s.unroster(m)
		}
	}
}

// rosterChanged takes a machine's own key, as versions before the pages wrote
// it. It stays until the machine goes.
func (s *State) rosterChanged(host string, it Item) {
	if it.Removed {
		if m := s.machines[host]; m != nil && m.ownKey {
			m.ownKey = false
			if m.page == 0 {
				s.unroster(m)
			}
		}
		return
	}
	var v rosterValue
	if json.Unmarshal(it.Value, &v) != nil {
		return
	}
	m := s.machine(host)
	m.ownKey, m.rostered, m.standing = true, true, v.Standing
	s.describe(m, v.Endpoint, v.Type, v.Zone, v.Spot)
}

func (s *State) unroster(m *machine) {
	m.rostered, m.silentStored, m.silentRead = false, 0, 0
	if !s.Leading() {
		s.drop(m.host)
	}
}

// strike takes a machine that is gone off the roster.
func (s *State) strike(m *machine) {
	if p := s.pages[m.page]; p != nil {
		p.dirty = true
	}
	if m.ownKey {
		s.put(&write{
			change: Change{Key: dirMachine + m.host, Remove: true}, class: classRoster,
			leader: s.leadership.Term, deadline: s.now + time.Hour, done: func(outcome) {},
		})
	}
}

// keepRoster enrolls the machines that have shown themselves in this term and
// writes the pages that have changed.
func (s *State) keepRoster() {
	if s.now < s.rosterAt {
		return
	}
	s.rosterAt = s.now + s.cfg.ReportEvery/12
	s.recordSilence()
	for _, p := range s.pages {
		p.bytes = 2
	}
	for _, m := range s.order {
		if m.page > 0 {
			s.page(m.page).bytes += m.rosterBytes()
		}
	}
	for _, m := range s.order {
		if m.rostered || m.page > 0 || !m.adopted || m.typ == nil {
			continue
		}
		m.page = s.pageWithRoom(m.rosterBytes())
		p := s.page(m.page)
		p.bytes += m.rosterBytes()
		p.dirty = true
	}
	for _, n := range ordered(s.pages) {
		p := s.pages[n]
		if p.dirty && !p.writing && p.bytes > s.pageBytes() {
			s.thinOut(n, p)
		}
	}
	for _, n := range ordered(s.pages) {
		p := s.pages[n]
		p.after = slices.DeleteFunc(p.after, func(k int) bool { return !s.pages[k].dirty && !s.pages[k].writing })
		if p.dirty && !p.writing && len(p.after) == 0 {
			s.writePage(n, p)
		}
	}
}

// thinOut moves machines from a page that is larger than pages may be now, as a
// version that knew other limits left it, to other pages.
func (s *State) thinOut(n int, p *page) {
	for i := len(s.order) - 1; i >= 0 && p.bytes > s.pageBytes(); i-- {
		m := s.order[i]
		if m.page != n {
			continue
		}
		m.page = s.pageWithRoom(m.rosterBytes())
		k := s.page(m.page)
		k.bytes += m.rosterBytes()
		k.dirty = true
		p.bytes -= m.rosterBytes()
		if !slices.Contains(p.after, m.page) {
			p.after = append(p.after, m.page)
		}
	}
}

// pageBytes is how large a page may be: a quarter of the largest value, since
// each change rewrites one, but enough for some machines where values are small.
func (s *State) pageBytes() int {
	most := min(s.cfg.ValueBytes, txnBytes)
	return max(most/4, min(most*3/4, 1536))
}

func (s *State) page(n int) *page {
	p := s.pages[n]
	if p == nil {
		p = &page{bytes: 2}
		s.pages[n] = p
	}
	return p
}

// pageWithRoom finds a page for one more machine.
func (s *State) pageWithRoom(bytes int) int {
	limit := s.pageBytes()
	for n := 1; ; n++ {
		if p := s.pages[n]; p == nil || p.bytes+bytes <= limit {
			return n
		}
	}
}

func (s *State) writePage(n int, p *page) {
	hosts := map[string]rosterValue{}
	for _, m := range s.order {
		if m.page != n {
			continue
		}
		hosts[m.host] = rosterValue{m.endpoint, m.typeName, m.zone, m.spot, m.standing, m.silentSince}
		if m.silentSince != 0 {
			m.silentStored = m.silentSince // from now on it may be there
		}
	}
	p.dirty, p.writing = false, true
	key := dirPage + strconv.Itoa(n)
	change := Change{Key: key, Value: raw(hosts)}
	if len(hosts) == 0 {
		change = Change{Key: key, Remove: true}
	}
	s.put(&write{
		change: change, class: classRoster, leader: s.leadership.Term, deadline: s.now + time.Hour,
		done: func(r outcome) {
			p.writing = false
			if r != written {
				p.dirty = true
			}
			s.dirty = true
			s.answerReports()
		},
	})
}

// recordSilence writes down which machines haven't been answered for a while, and
// since when. A successor would otherwise have to give each of them a whole
// lease from its own election before it may start their tasks elsewhere: with
// a zone cut off and the leader gone, that doubled the time for which the
// zone's services were down. Once the mark may be in the state service the
// machine is not answered before it has been taken away again.
func (s *State) recordSilence() {
	if s.cfg.Skew <= 0 || s.now < s.silenceAt {
		return // how far clocks are apart isn't known
	}
	s.silenceAt = s.now + max(s.cfg.ReportEvery/6, min(s.cfg.ReportEvery/2, time.Second))
	after := s.overdueReport(s.cfg.ReportEvery*3/2, s.cfg.ReportEvery*2)
	for _, m := range s.order {
		if m.page == 0 || !m.rostered || m.returning || m.silentSince != 0 || s.now-m.lastReplyAt < after {
			continue
		}
		m.silentSince = max(1, s.wallAt(m.lastReplyAt))
		s.page(m.page).dirty = true
	}
}

// clearSilence says whether m may be answered; if its mark may be in the state
// service, that is taken away first.
func (s *State) clearSilence(m *machine) bool {
	if m.silentSince != 0 {
		m.silentSince = 0
		s.page(m.page).dirty = true
	}
	return m.silentStored == 0
}

// wallAt is the time of day at t, in ms, rounded up.
func (s *State) wallAt(t time.Duration) int64 {
	return s.wall - int64((s.wallRead-t)/time.Millisecond) + 1
}

// lastAnswered is the latest time at which a former leader may have answered m:
// before this one's election, as it has said itself, and as the roster says.
func (s *State) lastAnswered(m *machine) time.Duration {
	last := s.electedAt
	if at, ok := s.handedOver(m); ok {
		last = min(last, at)
	}
	if m.silentStored != 0 && s.cfg.Skew > 0 {
		ago := time.Duration(s.wall-m.silentStored)*time.Millisecond + (s.now - s.wallRead) - 2*s.cfg.Skew
		last = min(last, s.now-ago)
	}
	return last
}
