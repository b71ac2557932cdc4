package core

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// machine is the leader's record of one machine and its worker. Answers to the worker's
// numbered reports renew its lease. When the lease expires, the worker ends all its tasks
// and begins a new session. Answers and commands carry an epoch (commands.go), and each
// report shows the highest epoch that the worker has seen since it started.
type machine struct {
	host, endpoint  string
	machineType     *model.MachineType
	typeName, zone  string
	spot            bool
	view            sched.Machine // the machine as the dispatcher sees it
	viewStale       bool          // the view must be recomputed from the tasks
	hasUnsentStarts bool          // there may be starts that no answer to a report has carried
	hasUnsentStops  bool          // there may be stops that no direct command has carried

	session, seq uint64 // session and number of the last report that was applied
	highestEpoch uint64 // highest epoch that its reports have shown since it last restarted
	minEpoch     uint64 // a report with a lower epoch is stale
	fence        uint64 // low bits of its current epoch (raiseFence)

	hasReported bool // a report of it was applied in this term
	// reconciled says that it has shown an epoch of this term, so that its task list is
	// complete. A restart or an expired lease resets it.
	reconciled   bool
	leaseExpired bool // its lease has certainly expired, and no newer session is known
	noOldTasks   bool // its lease has expired in this term, so no task from before the term is left
	// registered says that the machine registry (registry.go) lists it in the state
	// service, so that a successor knows of it.
	registered bool
	page       int // the registry page to which this leader assigns it; 0: none yet
	// storedPage is the registry page that lists the machine in the state service.
	storedPage int
	hasOwnKey  bool // it is registered under a key of its own, as versions before the pages wrote it

	// unresponsiveSince is the wall time in ms since which the machine has not been
	// answered, as the registry should record it; 0: no mark.
	// storedUnresponsiveSince is the mark that the state service may hold.
	unresponsiveSince, storedUnresponsiveSince int64
	readUnresponsiveSince                      int64 // the mark as last read from the state service

	preexisting bool // belongs to the operators, not rented: never returned for being idle
	// returning says that a return was requested and may be carried out. It stays set until
	// the cloud refuses with 429 or 503; if returnUnconfirmed is set, it stays set after that.
	returning bool
	// returnUnconfirmed says that an attempt to return the machine had no answer or an
	// unexpected one, so that the machine may disappear at any moment.
	returnUnconfirmed bool
	returnLogged      bool // the log says that it is being returned
	failed            bool // the cloud reports that it has failed
	// lastHeardAt is when its last report was applied, also one that answers a direct
	// command. At first it is the election, or 0 for a machine that is new in this term.
	lastHeardAt time.Duration
	// lastReplyAt is when the last report came that may have been answered with 200, or when
	// the worker's present session or its restart became known if that is later. At first it
	// is the latest time at which a former leader may have replied (latestPossibleReplyAt), or
	// 0 for a machine that is new in this term.
	lastReplyAt       time.Duration
	rentedAt          time.Duration // on a new leader too late until the cloud's list gives its age
	idleSince         time.Duration // when it was last in use, or became known
	reclaimAt         time.Duration // when the cloud will reclaim it; 0: no notice
	backoffUntil      time.Duration // after refused starts and failed tasks: no new tasks before then
	consecutiveErrors int           // tasks that failed on it in a row
	slow              bool          // found slow (slow_machines.go): no new tasks; returned once empty, and replaced
	slowRuns          int           // slow task runs, reset by a faster one (compareRunTime)

	tasks         map[string]*task            // bound to it, by name
	orphanedTasks map[string]model.TaskReport // reported by it but not bound to it: to be stopped

	unverifiedReport *pendingReport // a report that waits for a direct query to verify it
	reachability     reachability
	// answeredEpoch is the epoch of the last answer by answerReport, before its stops may
	// have raised it (addStopsForPendingStarts); 0: none in this term or since a restart.
	answeredEpoch uint64
	answeredSeq   uint64        // highest number of a report of this session that answerReport answered; 0: none
	answeredAt    time.Duration // when answerReport last answered a report

	// A probe is a direct command without orders, which only asks for a report.
	lastProbeAt          time.Duration // when a stale report last caused a probe
	hasUnansweredCommand bool          // a direct command had no answer in this term
	commandInFlight      bool          // a direct command is under way
	nextCommandAt        time.Duration // no direct command before then, except probes that a report calls for
	reportRequests       reportRequestState
	reportPendingInRound uint64 // number of the last round at which a report of it waited for an answer

	reservedFor   *job // its free capacity is reserved for this job
	reservedUntil time.Duration
	draining      bool // the reservation waits for tasks to end by themselves: none was preempted for it
}

// ensureMachine returns the record of host and creates it if there is none.
func (s *State) ensureMachine(host string) *machine {
	m := s.machines[host]
	if m == nil {
		m = &machine{host: host, tasks: map[string]*task{}, orphanedTasks: map[string]model.TaskReport{}, rentedAt: s.now, idleSince: s.now}
		m.view.ID, m.view.Ref = host, m
		// A machine of a type that is not known yet may report running tasks. Without
		// an image cache, such a report would make the controller panic.
		m.view.Images = &sched.Cache{}
		m.viewStale = true
		s.machines[host] = m
		index, _ := s.machineIndex(host)
		s.machinesByName = slices.Insert(s.machinesByName, index, m)
	}
	return m
}

// machineIndex returns the index of host in machinesByName, or the index at which
// to insert it, and whether it is there.
func (s *State) machineIndex(host string) (int, bool) {
	return slices.BinarySearchFunc(s.machinesByName, host, func(m *machine, h string) int { return strings.Compare(m.host, h) })
}

// removeMachine removes the record of a machine.
func (s *State) removeMachine(host string) {
	delete(s.machines, host)
	if index, ok := s.machineIndex(host); ok {
		// This makes a new slice, because a caller may be iterating over the old one.
		s.machinesByName = slices.Concat(s.machinesByName[:index], s.machinesByName[index+1:])
	}
	s.machinesWithOrphans = slices.DeleteFunc(s.machinesWithOrphans, func(m *machine) bool { return m.host == host })
}

// describeMachine sets the endpoint (if known), type, zone and spot flag of m, and once
// its type is known the capacity, fetch rate, price and cache size in its view.
func (s *State) describeMachine(m *machine, endpoint, typeName, zone string, spot bool) {
	if endpoint != "" {
		m.endpoint = endpoint
	}
	m.typeName, m.zone, m.spot, m.view.Spot, m.view.Zone = typeName, zone, spot, spot, zone
	if t := s.types[typeName]; t != nil && m.machineType != t {
		m.machineType = t
		m.viewStale = true
		m.view.Capacity = sched.MachineCapacity(t.CPUs, t.GPUs, t.MemoryGB)
		m.view.FetchGBPerS = max(t.FetchGBPerS, 0.001)
		m.view.PricePerHour = t.Price
		if spot {
			m.view.PricePerHour = t.SpotPrice
		}
		m.view.Images.SizeGB = t.CacheGB
	}
}

// resetForTerm drops everything that is valid only for the leader of one term.
func (m *machine) resetForTerm() {
	m.hasReported, m.reconciled, m.leaseExpired, m.noOldTasks, m.returning, m.commandInFlight = false, false, false, false, false, false
	m.returnUnconfirmed, m.returnLogged = false, false
	m.tasks = map[string]*task{}
	m.orphanedTasks = map[string]model.TaskReport{}
	m.session, m.seq, m.fence, m.nextCommandAt, m.reclaimAt = 0, 0, 0, 0, 0
	m.answeredEpoch, m.answeredSeq, m.answeredAt, m.minEpoch, m.lastProbeAt, m.hasUnansweredCommand = 0, 0, 0, 0, 0, false
	m.reservedFor, m.slow, m.slowRuns = nil, false, 0
	m.unverifiedReport, m.reachability = nil, reachability{}
	// The writes that this controller planned as leader may never have reached the
	// state service, so only values read from there count. Otherwise a controller that
	// is elected again could count a machine's lease from a mark that was never stored,
	// although another leader has answered the machine since.
	m.page, m.storedUnresponsiveSince = m.storedPage, m.readUnresponsiveSince
	m.view.LocalQueue, m.view.Fetching, m.view.Running = nil, nil, nil
	m.viewStale, m.hasUnsentStarts, m.hasUnsentStops, m.reportRequests = true, false, false, reportRequestState{}
}

// takeOver begins a term. It sends an empty command under the new epoch to the registered
// machines, since a former leader may have given them tasks. The command asks for the
// machine's tasks and fences off commands of earlier epochs. Machines for which no socket
// is free get it later, unless they report first.
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
			p.dirty = true // a machine is on two pages, because its move was interrupted
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
