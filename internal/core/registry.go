package core

import (
	"log/slog"
	"slices"
	"strconv"
	"time"

	"mulleinfall/internal/exactjson"
)

// The machine registry is the list of machines in the state service. Its keys are pages,
// which hold many machines each. The leader plans on which page a machine is to be
// (machine.page); the page on which it is stored may still be another (storedPage).

// registryState is the leader's view of the registry.
type registryState struct {
	pages           map[int]*registryPage // by page number, from 1
	nextPageWriteAt time.Duration         // when changed pages may be written next
	// nextUnresponsiveCheckAt is when machines are next checked for missing replies.
	nextUnresponsiveCheckAt time.Duration
}

// machineRecord is a machine's entry in the registry. It is written before the machine
// gets its first task, so that the next leader knows which machines to query.
type machineRecord struct {
	Endpoint    string `json:"endpoint"`
	Type        string `json:"type"`
	Zone        string `json:"zone"`
	Spot        bool   `json:"spot,omitempty"`
	Preexisting bool   `json:"standing,omitempty"`
	// UnresponsiveSinceMs is the machine's unresponsive mark: the wall-clock time in ms
	// since which no controller has answered a report of it, or 0 without a mark. See
	// markUnresponsiveMachines.
	UnresponsiveSinceMs int64 `json:"quiet,omitempty"`
}

// recordBytes returns an upper bound on the size of the machine's entry in its page.
func (m *machine) recordBytes() int {
	return 128 + len(m.host) + len(m.endpoint) + len(m.typeName) + len(m.zone)
}

// registryPage is the leader's view of one page of the registry. Many machines share a
// page, because with one key per machine the largest fleets would take minutes to write.
type registryPage struct {
	dirty, writing  bool // dirty: to be written; writing: a write is queued or in flight
	bytes           int  // upper bound on the size of its value
	machinesAtStart int  // number of machines on it when the term began
	// writtenAfter lists the pages that machines of this page are moved to. These pages
	// are written first, so that each machine is always on at least one stored page.
	writtenAfter []int
}

// applyPage applies a stored page of the registry.
func (s *State) applyPage(name string, item Item) {
	pageNumber, err := strconv.Atoi(name)
	if err != nil || pageNumber < 1 {
		return
	}
	var hosts map[string]machineRecord
	if !item.Removed {
		if err := exactjson.Unmarshal(item.Value, &hosts); err != nil {
			s.log(slog.LevelError, "registry page cannot be decoded", "page", pageNumber, "error", err.Error())
			return
		}
	}
	listed := sortedKeys(hosts)
	for _, host := range listed {
		record := hosts[host]
		m := s.ensureMachine(host)
		m.storedPage, m.registered, m.preexisting = pageNumber, true, record.Preexisting
		m.storedUnresponsiveSince, m.readUnresponsiveSince = record.UnresponsiveSinceMs, record.UnresponsiveSinceMs
		if !s.caughtUp || m.page == 0 {
			m.page = pageNumber // otherwise the planned page stays: the leader may be moving the machine
		}
		s.describeMachine(m, record.Endpoint, record.Type, record.Zone, record.Spot)
	}
	s.removeUnlisted(pageNumber, hosts)
	s.pageHosts[pageNumber] = listed
}

// removeUnlisted records as unregistered the machines that were on a page when it was last
// read and are not on it now. It looks at the machines of that page only: scanning the
// whole fleet for each page would make the cost of a full read grow with the square of the
// fleet's size.
func (s *State) removeUnlisted(pageNumber int, hosts map[string]machineRecord) {
	for _, host := range s.pageHosts[pageNumber] {
		m := s.machines[host]
		if _, listed := hosts[host]; m != nil && m.storedPage == pageNumber && m.registered && !listed {
			m.page, m.storedPage = 0, 0
			s.markUnregistered(m)
		}
	}
}

// applyMachineKey applies a machine's own key, as versions before the registry pages
// wrote it. Such a key stays until the machine is unregistered.
func (s *State) applyMachineKey(host string, item Item) {
	if item.Removed {
		if m := s.machines[host]; m != nil && m.hasOwnKey {
			m.hasOwnKey = false
			if m.page == 0 {
				s.markUnregistered(m)
			}
		}
		return
	}
	var record machineRecord
	if exactjson.Unmarshal(item.Value, &record) != nil {
		return
	}
	m := s.ensureMachine(host)
	m.hasOwnKey, m.registered, m.preexisting = true, true, record.Preexisting
	s.describeMachine(m, record.Endpoint, record.Type, record.Zone, record.Spot)
}

// markUnregistered records that m is no longer stored in the registry. Controllers that
// don't lead know machines from the registry only, so they drop m.
func (s *State) markUnregistered(m *machine) {
	m.registered, m.storedUnresponsiveSince, m.readUnresponsiveSince = false, 0, 0
	if !s.IsLeader() {
		s.removeMachine(m.host)
	}
}

// unregister removes from the stored registry a machine that no longer exists, and that
// the caller has removed from the machine table.
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

// maintainRegistry registers the machines that are reconciled (have shown an epoch of this
// term) and whose type is known, and writes the pages that have changed.
func (s *State) maintainRegistry() {
	if s.now < s.nextPageWriteAt {
		return
	}
	s.nextPageWriteAt = s.now + s.cfg.ReportInterval/12
	s.markUnresponsiveMachines()
	for _, page := range s.pages {
		page.bytes = 2 // the size of an empty JSON object
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
		page := s.page(m.page)
		page.bytes += m.recordBytes()
		page.dirty = true
	}
	for _, pageNumber := range sortedKeys(s.pages) {
		page := s.pages[pageNumber]
		if page.dirty && !page.writing && page.bytes > s.maxPageBytes() {
			s.shrinkPage(pageNumber, page)
		}
	}
	for _, pageNumber := range sortedKeys(s.pages) {
		page := s.pages[pageNumber]
		page.writtenAfter = slices.DeleteFunc(page.writtenAfter, func(other int) bool { return !s.pages[other].dirty && !s.pages[other].writing })
		if page.dirty && !page.writing && len(page.writtenAfter) == 0 {
			s.writePage(pageNumber, page)
		}
	}
}

// shrinkPage moves machines to other pages until the page is within the limit. A page
// may exceed the limit if it was written by a previous version, which had another limit.
func (s *State) shrinkPage(pageNumber int, page *registryPage) {
	for i := len(s.machinesByName) - 1; i >= 0 && page.bytes > s.maxPageBytes(); i-- {
		m := s.machinesByName[i]
		if m.page != pageNumber {
			continue
		}
		m.page = s.pageWithCapacity(m.recordBytes())
		target := s.page(m.page)
		target.bytes += m.recordBytes()
		target.dirty = true
		page.bytes -= m.recordBytes()
		if !slices.Contains(page.writtenAfter, m.page) {
			page.writtenAfter = append(page.writtenAfter, m.page)
		}
	}
}

// maxPageBytes returns the maximum size of a page. It is a quarter of the largest
// possible value, because each change rewrites a whole page. Where values are small, it
// is 1536 bytes, or three quarters of the largest value if that is less, so that a page
// holds several machines.
func (s *State) maxPageBytes() int {
	largestValue := min(s.cfg.MaxValueBytes, maxTxnBytes)
	return max(largestValue/4, min(largestValue*3/4, 1536))
}

// page returns the page of that number and creates it if needed.
func (s *State) page(pageNumber int) *registryPage {
	p := s.pages[pageNumber]
	if p == nil {
		p = &registryPage{bytes: 2} // the size of an empty JSON object
		s.pages[pageNumber] = p
	}
	return p
}

// pageWithCapacity returns the number of the first page that has space for one more
// machine, whose entry takes bytes.
func (s *State) pageWithCapacity(bytes int) int {
	limit := s.maxPageBytes()
	for pageNumber := 1; ; pageNumber++ {
		if p := s.pages[pageNumber]; p == nil || p.bytes+bytes <= limit {
			return pageNumber
		}
	}
}

// writePage queues the write of a page, or its removal if no machine is on it.
func (s *State) writePage(pageNumber int, page *registryPage) {
	hosts := map[string]machineRecord{}
	for _, m := range s.machinesByName {
		if m.page != pageNumber {
			continue
		}
		hosts[m.host] = machineRecord{m.endpoint, m.typeName, m.zone, m.spot, m.preexisting, m.unresponsiveSince}
		if m.unresponsiveSince != 0 {
			m.storedUnresponsiveSince = m.unresponsiveSince // from now on the mark may be stored
		}
	}
	page.dirty, page.writing = false, true
	key := prefixPages + strconv.Itoa(pageNumber)
	change := Change{Key: key, Value: mustMarshal(hosts)}
	if len(hosts) == 0 {
		change = Change{Key: key, Remove: true}
	}
	s.queueWrite(&write{
		change: change, class: classRegistry, leaderTerm: s.leadership.Term, deadline: s.now + time.Hour,
		done: func(result outcome) {
			page.writing = false
			if result != written {
				page.dirty = true
			}
			s.dispatchNeeded = true
			s.answerReports()
		},
	})
}

// markUnresponsiveMachines marks the machines in the registry that have had no reply for
// a while, with the time of the last reply. Without the mark, the next leader must wait
// for a whole lease from its own election before it may start their tasks elsewhere. When
// a zone is cut off and the leader fails, that doubles the time for which the zone's
// services are down. Once a mark may be stored, the machine gets no reply and no direct
// start until the mark has been removed.
func (s *State) markUnresponsiveMachines() {
	if s.cfg.MaxClockSkew <= 0 || s.now < s.nextUnresponsiveCheckAt {
		return // without a bound on the clock skew, the next leader could not use the marks
	}
	s.nextUnresponsiveCheckAt = s.now + max(s.cfg.ReportInterval/6, min(s.cfg.ReportInterval/2, time.Second))
	timeout := s.reportTimeout(s.cfg.ReportInterval*3/2, s.cfg.ReportInterval*2)
	for _, m := range s.machinesByName {
		if m.page == 0 || !m.registered || m.returning || m.unresponsiveSince != 0 || s.now-m.lastReplyAt < timeout {
			continue
		}
		m.unresponsiveSince = max(1, s.wallTimeAt(m.lastReplyAt))
		s.page(m.page).dirty = true
	}
}

// clearUnresponsiveMark reports whether a reply may be sent to m. While a mark may be
// stored for m, it returns false and lets the next write of the page remove the mark.
func (s *State) clearUnresponsiveMark(m *machine) bool {
	if m.unresponsiveSince != 0 {
		m.unresponsiveSince = 0
		s.page(m.page).dirty = true
	}
	return m.storedUnresponsiveSince == 0
}

// wallTimeAt returns the wall-clock time at the monotonic time t, in ms. It is rounded up,
// so that it is never too early.
func (s *State) wallTimeAt(t time.Duration) int64 {
	return s.wallMs - int64((s.wallReadAt-t)/time.Millisecond) + 1
}

// latestPossibleReplyAt returns the latest time at which a former leader may have
// replied to m. That is the election of this leader, or earlier if the previous leader
// has said so (reply_ages.go) or m has an unresponsive mark.
func (s *State) latestPossibleReplyAt(m *machine) time.Duration {
	latest := s.electedAt
	if reportedAt, ok := s.reportedReplyAt(m); ok {
		latest = min(latest, reportedAt)
	}
	if m.storedUnresponsiveSince != 0 && s.cfg.MaxClockSkew > 0 {
		// The wall clocks of both leaders may be off by MaxClockSkew.
		sinceReply := time.Duration(s.wallMs-m.storedUnresponsiveSince)*time.Millisecond + (s.now - s.wallReadAt) - 2*s.cfg.MaxClockSkew
		latest = min(latest, s.now-sinceReply)
	}
	return latest
}
