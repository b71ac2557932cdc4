package core

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// machine is a row of the machine table.
type machine struct {
	host, endpoint  string
	machineType     *model.MachineType
	typeName, zone  string
	spot            bool
	view            sched.Machine
	viewStale       bool // the view is older than the tasks
	hasUnsentOrders bool // there may be starts or stops that haven't been sent

	session, seq uint64
	highestEpoch uint64 // highest epoch that it has shown
	minEpoch     uint64 // a report that shows a lower epoch is no news
	fence        uint64 // low bits of the epoch in use

	hasReported  bool // has reported, in this term
	reconciled   bool // has shown an epoch of this term: its list is complete
	leaseExpired bool // its lease has surely run out
	noOldTasks   bool // nothing from before this term can be on it
	registered   bool // in the state service, so that a successor knows of it
	page         int  // of the roster; 0: none yet
	// storedPage is the page that it is on in the state service.
	storedPage int
	hasOwnKey  bool // on the roster by a key of its own, as former versions wrote it
	// quiet is since when it hasn't been answered, as wanted in the roster (0:
	// no mark), silentStored the mark that may be there.
	unresponsiveSince, storedUnresponsiveSince int64
	readUnresponsiveSince                      int64 // the mark as last read from the state service
	preexisting                                bool  // the operators' own, there before us: never returned for being idle
	returning                                  bool
	// returnUnconfirmed: a return had no answer, so the machine can't be counted on.
	returnUnconfirmed bool
	returnLogged      bool
	failed            bool          // the cloud says that it has failed
	lastHeardAt       time.Duration // last report of any kind
	lastReplyAt       time.Duration // receipt of the last report answered with 200
	rentedAt          time.Duration
	idleSince         time.Duration
	reclaimAt         time.Duration // 0: none
	backoffUntil      time.Duration // no new tasks before (refusals, errors)
	consecutiveErrors int
	slow              bool // found slow: drained, returned and replaced
	slowRuns          int

	tasks         map[string]*task
	orphanedTasks map[string]model.TaskReport

	unverifiedReport *pendingReport // a report that waits for the machine's own word
	reachability     reachability
	answeredEpoch    uint64        // of the last answer to a report
	answeredSeq      uint64        // that report
	answeredAt       time.Duration // when it was answered

	lastProbeAt time.Duration // when its word was last asked for
	// hasUnansweredCommand: a direct command had no answer in this term.
	hasUnansweredCommand bool
	commandInFlight      bool          // a direct command is under way
	nextCommandAt        time.Duration // no direct command before
	unconfirmedEpoch     uint64        // epoch of a direct command without an answer
	reservedFor          *job          // room made by preemption is kept for this job
	reservedUntil        time.Duration
	draining             bool // kept for a job that waits for its tasks to end, not for preempted ones
}

func (s *State) ensureMachine(host string) *machine {
	m := s.machines[host]
	if m == nil {
		m = &machine{host: host, tasks: map[string]*task{}, orphanedTasks: map[string]model.TaskReport{}, rentedAt: s.now, idleSince: s.now}
		m.view.ID, m.view.Ref = host, m
		// A machine of a type that isn't known yet may report running tasks: without
		// a cache such a report ended the process.
		m.view.Images = &sched.Cache{}
		m.viewStale = true
		s.machines[host] = m
		at, _ := s.machineIndex(host)
		s.machinesByName = slices.Insert(s.machinesByName, at, m)
	}
	return m
}

// machineIndex is where host stands or would stand in the order of machines.
func (s *State) machineIndex(host string) (int, bool) {
	return slices.BinarySearchFunc(s.machinesByName, host, func(m *machine, h string) int { return strings.Compare(m.host, h) })
}

// removeMachine forgets a machine.
func (s *State) removeMachine(host string) {
	delete(s.machines, host)
	if at, ok := s.machineIndex(host); ok {
		// A new list: somebody may be going over the old one.
		s.machinesByName = slices.Concat(s.machinesByName[:at], s.machinesByName[at+1:])
	}
	s.machinesWithOrphans = slices.DeleteFunc(s.machinesWithOrphans, func(m *machine) bool { return m.host == host })
}

// describeMachine sets what kind of machine m is.
func (s *State) describeMachine(m *machine, endpoint, typ, zone string, spot bool) {
	if endpoint != "" {
		m.endpoint = endpoint
	}
	m.typeName, m.zone, m.spot, m.view.Spot, m.view.Zone = typ, zone, spot, spot, zone
	if t := s.types[typ]; t != nil && m.machineType != t {
		m.machineType = t
		m.viewStale = true
		m.view.Capacity = sched.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
		m.view.FetchGBPerS = max(t.FetchGBPerS, 0.001)
		m.view.PricePerHour = t.Price
		if spot {
			m.view.PricePerHour = t.SpotPrice
		}
		m.view.Images.SizeGB = t.CacheGB
	}
}

// resetForTerm drops what only the leader of a term may rely on.
func (m *machine) resetForTerm() {
	m.hasReported, m.reconciled, m.leaseExpired, m.noOldTasks, m.returning, m.commandInFlight = false, false, false, false, false, false
	m.returnUnconfirmed, m.returnLogged = false, false
	m.tasks = map[string]*task{}
	m.orphanedTasks = map[string]model.TaskReport{}
	m.session, m.seq, m.fence, m.unconfirmedEpoch, m.nextCommandAt, m.reclaimAt = 0, 0, 0, 0, 0, 0
	m.answeredEpoch, m.answeredSeq, m.answeredAt, m.minEpoch, m.lastProbeAt, m.hasUnansweredCommand = 0, 0, 0, 0, 0, false
	m.reservedFor, m.slow, m.slowRuns = nil, false, 0
	m.unverifiedReport, m.reachability = nil, reachability{}
	// What this leader meant to write may never have been written. A leader elected
	// again once counted a machine's lease from a mark of its earlier term that the
	// state service never had, while another had answered the machine meanwhile.
	m.page, m.storedUnresponsiveSince = m.storedPage, m.readUnresponsiveSince
	m.view.LocalQueue, m.view.Fetching, m.view.Running = nil, nil, nil
	m.viewStale, m.hasUnsentOrders = true, false
}

// takeOver begins a term: every machine that a former leader may have given
// tasks is asked, and fenced, by an empty command under the new epoch.
func (s *State) takeOver() {
	s.log(slog.LevelInfo, "leading", "term", s.leadership.Term, "jobs", len(s.active), "machines", len(s.machines))
	s.attemptCounter, s.lastRentalNumber, s.lastReportAt = 0, 0, s.now
	s.takeoverComplete, s.scanNext, s.scanCount = false, 0, 0
	s.placementsByPath = map[sched.Path]int{}
	s.pages, s.nextPageWriteAt, s.nextUnresponsiveCheckAt = map[int]*registryPage{}, 0, 0
	s.teamUsage, s.machinesWithOrphans, s.pendingReports = map[string]sched.Resources{}, nil, nil
	for _, m := range s.machinesByName {
		if !m.registered {
			s.removeMachine(m.host)
			continue
		}
		m.resetForTerm()
		m.lastReplyAt, m.lastHeardAt, m.unresponsiveSince = s.latestPossibleReplyAt(m), s.electedAt, m.storedUnresponsiveSince
		m.idleSince, m.rentedAt = s.now, s.now
		if m.page > 0 {
			s.page(m.page).machinesAtStart++
		}
	}
	for n, listed := range s.pageHosts {
		if p := s.page(n); p.machinesAtStart != len(listed) {
			p.dirty = true // a machine that is on two pages, since moving it was cut short
		}
	}
	for _, id := range sortedKeys(s.active) {
		j := s.active[id]
		j.resetTerm()
		if j.doneCount == j.Tasks {
			s.finishJob(j)
		}
	}
	s.resetFleet()
	s.checkTakeoverComplete()
	s.sendCommands()
}
