package core

import (
	"encoding/json"
	"log/slog"
	"slices"
	"strconv"
	"time"
)

// registryState is the leader's view of the roster.
type registryState struct {
	pages           map[int]*registryPage
	nextPageWriteAt time.Duration // pages are written again; not before
	// nextUnresponsiveCheckAt is when machines are next looked at for their silence.
	nextUnresponsiveCheckAt time.Duration
}

// machineRecord is a machine in the state service: written before the machine
// is given its first task, so that a successor knows whom to ask.
type machineRecord struct {
	Endpoint    string `json:"endpoint"`
	Type        string `json:"type"`
	Zone        string `json:"zone"`
	Spot        bool   `json:"spot,omitempty"`
	Preexisting bool   `json:"standing,omitempty"`
	// UnresponsiveSinceMs says that the machine has not been answered since this time of day
	// (ms): see recordSilence.
	UnresponsiveSinceMs int64 `json:"quiet,omitempty"`
}

// bytes bounds what the machine takes in its page.
func (m *machine) recordBytes() int {
	return 128 + len(m.host) + len(m.endpoint) + len(m.typeName) + len(m.zone)
}

// registryPage is the leader's view of one slice of the roster. Many machines share a
// key: one key each would take the largest fleets minutes to write.
type registryPage struct {
	dirty, writing  bool
	bytes           int
	machinesAtStart int // machines, when the term began
	// writtenAfter are pages that take machines over from this one: they go first, so
	// that each machine is always on one of them.
	writtenAfter []int
}

// applyPage takes a page of the roster.
func (s *State) applyPage(name string, it Item) {
	n, err := strconv.Atoi(name)
	if err != nil || n < 1 {
		return
	}
	var hosts map[string]machineRecord
	if !it.Removed {
		if err := json.Unmarshal(it.Value, &hosts); err != nil {
			s.log(slog.LevelError, "unreadable roster", "page", n, "error", err.Error())
			return
		}
	}
	listed := sortedKeys(hosts)
	for _, host := range listed {
		v := hosts[host]
		m := s.ensureMachine(host)
		m.storedPage, m.registered, m.preexisting = n, true, v.Preexisting
		m.storedUnresponsiveSince, m.readUnresponsiveSince = v.UnresponsiveSinceMs, v.UnresponsiveSinceMs
		if !s.caughtUp || m.page == 0 {
			m.page = n // a leader's own wish stands: it may be moving the machine
		}
		s.describeMachine(m, v.Endpoint, v.Type, v.Zone, v.Spot)
	}
	s.removeUnlisted(n, hosts)
	s.pageHosts[n] = listed
}

// removeUnlisted takes the machines off the roster that were on a page when it was
// last read, and aren't now. It goes over that page only: to look at the whole fleet
// for each page made a full read grow with its square.
func (s *State) removeUnlisted(n int, hosts map[string]machineRecord) {
	for _, host := range s.pageHosts[n] {
		m := s.machines[host]
		if _, on := hosts[host]; m != nil && m.storedPage == n && m.registered && !on {
			m.page, m.storedPage = 0, 0
			s.markUnregistered(m)
		}
	}
}

// applyMachineKey takes a machine's own key, as versions before the pages wrote
// it. It stays until the machine goes.
func (s *State) applyMachineKey(host string, it Item) {
	if it.Removed {
		if m := s.machines[host]; m != nil && m.hasOwnKey {
			m.hasOwnKey = false
			if m.page == 0 {
				s.markUnregistered(m)
			}
		}
		return
	}
	var v machineRecord
	if json.Unmarshal(it.Value, &v) != nil {
		return
	}
	m := s.ensureMachine(host)
	m.hasOwnKey, m.registered, m.preexisting = true, true, v.Preexisting
	s.describeMachine(m, v.Endpoint, v.Type, v.Zone, v.Spot)
}

func (s *State) markUnregistered(m *machine) {
	m.registered, m.storedUnresponsiveSince, m.readUnresponsiveSince = false, 0, 0
	if !s.IsLeader() {
		s.removeMachine(m.host)
	}
}

// unregister takes a machine that is gone off the roster.
func (s *State) unregister(m *machine) {
	if p := s.pages[m.page]; p != nil {
		p.dirty = true
	}
	if m.hasOwnKey {
		s.queueWrite(&write{
			change: Change{Key: prefixMachines + m.host, Remove: true}, class: classRegistry,
			leaderTerm: s.leadership.Term, deadline: s.now + time.Hour, done: func(outcome) {},
		})
	}
}

// maintainRegistry enrolls the machines that have shown themselves in this term and
// writes the pages that have changed.
func (s *State) maintainRegistry() {
	if s.now < s.nextPageWriteAt {
		return
	}
	s.nextPageWriteAt = s.now + s.cfg.ReportInterval/12
	s.markUnresponsiveMachines()
	for _, p := range s.pages {
		p.bytes = 2
	}
	for _, m := range s.machinesByName {
		if m.page > 0 {
			s.page(m.page).bytes += m.recordBytes()
		}
	}
	for _, m := range s.machinesByName {
		if m.registered || m.page > 0 || !m.reconciled || m.machineType == nil {
			continue
		}
		m.page = s.pageWithCapacity(m.recordBytes())
		p := s.page(m.page)
		p.bytes += m.recordBytes()
		p.dirty = true
	}
	for _, n := range sortedKeys(s.pages) {
		p := s.pages[n]
		if p.dirty && !p.writing && p.bytes > s.maxPageBytes() {
			s.shrinkPage(n, p)
		}
	}
	for _, n := range sortedKeys(s.pages) {
		p := s.pages[n]
		p.writtenAfter = slices.DeleteFunc(p.writtenAfter, func(k int) bool { return !s.pages[k].dirty && !s.pages[k].writing })
		if p.dirty && !p.writing && len(p.writtenAfter) == 0 {
			s.writePage(n, p)
		}
	}
}

// shrinkPage moves machines from a page that is larger than pages may be now, as a
// version that knew other limits left it, to other pages.
func (s *State) shrinkPage(n int, p *registryPage) {
	for i := len(s.machinesByName) - 1; i >= 0 && p.bytes > s.maxPageBytes(); i-- {
		m := s.machinesByName[i]
		if m.page != n {
			continue
		}
		m.page = s.pageWithCapacity(m.recordBytes())
		k := s.page(m.page)
		k.bytes += m.recordBytes()
		k.dirty = true
		p.bytes -= m.recordBytes()
		if !slices.Contains(p.writtenAfter, m.page) {
			p.writtenAfter = append(p.writtenAfter, m.page)
		}
	}
}

// maxPageBytes is how large a page may be: a quarter of the largest value, since
// each change rewrites one, but enough for some machines where values are small.
func (s *State) maxPageBytes() int {
	most := min(s.cfg.MaxValueBytes, maxTxnBytes)
	return max(most/4, min(most*3/4, 1536))
}

func (s *State) page(n int) *registryPage {
	p := s.pages[n]
	if p == nil {
		p = &registryPage{bytes: 2}
		s.pages[n] = p
	}
	return p
}

// pageWithCapacity finds a page for one more machine.
func (s *State) pageWithCapacity(bytes int) int {
	limit := s.maxPageBytes()
	for n := 1; ; n++ {
		if p := s.pages[n]; p == nil || p.bytes+bytes <= limit {
			return n
		}
	}
}

func (s *State) writePage(n int, p *registryPage) {
	hosts := map[string]machineRecord{}
	for _, m := range s.machinesByName {
		if m.page != n {
			continue
		}
		hosts[m.host] = machineRecord{m.endpoint, m.typeName, m.zone, m.spot, m.preexisting, m.unresponsiveSince}
		if m.unresponsiveSince != 0 {
			m.storedUnresponsiveSince = m.unresponsiveSince // from now on it may be there
		}
	}
	p.dirty, p.writing = false, true
	key := prefixPages + strconv.Itoa(n)
	change := Change{Key: key, Value: mustMarshal(hosts)}
	if len(hosts) == 0 {
		change = Change{Key: key, Remove: true}
	}
	s.queueWrite(&write{
		change: change, class: classRegistry, leaderTerm: s.leadership.Term, deadline: s.now + time.Hour,
		done: func(r outcome) {
			p.writing = false
			if r != written {
				p.dirty = true
			}
			s.dispatchNeeded = true
			s.answerReports()
		},
	})
}

// markUnresponsiveMachines writes down which machines haven't been answered for a while, and
// since when. A successor would otherwise have to give each of them a whole
// lease from its own election before it may start their tasks elsewhere: with
// a zone cut off and the leader gone, that doubled the time for which the
// zone's services were down. Once the mark may be in the state service the
// machine is not answered before it has been taken away again.
func (s *State) markUnresponsiveMachines() {
	if s.cfg.MaxClockSkew <= 0 || s.now < s.nextUnresponsiveCheckAt {
		return // how far clocks are apart isn't known
	}
	s.nextUnresponsiveCheckAt = s.now + max(s.cfg.ReportInterval/6, min(s.cfg.ReportInterval/2, time.Second))
	after := s.reportTimeout(s.cfg.ReportInterval*3/2, s.cfg.ReportInterval*2)
	for _, m := range s.machinesByName {
		if m.page == 0 || !m.registered || m.returning || m.unresponsiveSince != 0 || s.now-m.lastReplyAt < after {
			continue
		}
		m.unresponsiveSince = max(1, s.wallTimeAt(m.lastReplyAt))
		s.page(m.page).dirty = true
	}
}

// clearUnresponsiveMark says whether m may be answered; if its mark may be in the state
// service, that is taken away first.
func (s *State) clearUnresponsiveMark(m *machine) bool {
	if m.unresponsiveSince != 0 {
		m.unresponsiveSince = 0
		s.page(m.page).dirty = true
	}
	return m.storedUnresponsiveSince == 0
}

// wallTimeAt is the time of day at t, in ms, rounded up.
func (s *State) wallTimeAt(t time.Duration) int64 {
	return s.wallMs - int64((s.wallReadAt-t)/time.Millisecond) + 1
}

// latestPossibleReplyAt is the latest time at which a former leader may have answered m:
// before this one's election, as it has said itself, and as the roster says.
func (s *State) latestPossibleReplyAt(m *machine) time.Duration {
	last := s.electedAt
	if at, ok := s.transferredReplyAt(m); ok {
		last = min(last, at)
	}
	if m.storedUnresponsiveSince != 0 && s.cfg.MaxClockSkew > 0 {
		ago := time.Duration(s.wallMs-m.storedUnresponsiveSince)*time.Millisecond + (s.now - s.wallReadAt) - 2*s.cfg.MaxClockSkew
		last = min(last, s.now-ago)
	}
	return last
}
