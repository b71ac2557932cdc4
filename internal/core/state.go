package core

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"mulleinfall/internal/election"
	"mulleinfall/internal/model"
	"mulleinfall/internal/sched"
)

// State holds everything that a controller knows. It changes only in Step.
type State struct {
	cfg            Config
	electionConfig election.Config
	now            time.Duration // monotonic time of the current event
	// startedAt is when this process started.
	startedAt time.Duration
	// wallMs is the wall-clock time of the last tick, in milliseconds.
	wallMs     int64
	wallReadAt time.Duration // monotonic time of the last tick
	effects    []Effect      // effects of the current step so far
	random     *rand.Rand

	pendingCalls map[uint64]func(any) // by call id: the callback that gets the result
	lastCallID   uint64

	// storeRate limits the requests to the state service, writeRate the changes in its
	// transactions, and cloudRate the requests to the cloud.
	storeRate, writeRate, cloudRate *rate.Limiter

	replica
	writer
	userRequests
	cancellationState
	cancellationWatch
	leadState
	versionState

	// These hold state that only the leader uses. What is valid for one term only is
	// reset when a term begins or ends.
	takeoverState
	dispatchState
	reportState
	commandState
	registryState
	bitmapState
	gangState
	slowState
	fleetState

	types           map[string]*model.MachineType // machine types by name
	typeList        []model.MachineType           // the same types, as last received
	nextTypesReadAt time.Duration

	jobs     map[string]*job     // by id; finished jobs included
	active   map[string]*job     // jobs that are neither done nor cancelled
	machines map[string]*machine // by host
	// machinesByName holds all machines sorted by name. Loops use this order so that
	// replaying a trace of events gives the same effects.
	machinesByName      []*machine
	pageHosts           map[int][]string // hosts on each page of the machine registry, as last read
	machinesWithOrphans []*machine       // machines with orphaned tasks, which must be stopped there
}

// promiseDuration is how long the leader key and a promise last: a part of the
// workers' lease. A successor can be elected when both have expired, and a
// restarted controller waits as long before it gives a promise. Workers stop their
// tasks when their lease expires, so the rest of the lease must cover a restart of
// the controllers and the time that workers need to find the new leader.
func promiseDuration(cfg Config) time.Duration { return cfg.Lease * 3 / 16 }

// New creates the state of a controller that starts at now.
func New(cfg Config, now time.Duration) *State {
	duration := promiseDuration(cfg)
	electionConfig := election.Config{Self: cfg.Self, Controllers: len(cfg.Peers) + 1, KeyTTL: duration, PromiseDuration: duration, ClockDrift: ClockDrift,
		MaxStaleness: maxViewAge(cfg), ReadLeaseDuration: cfg.CancelWithin}
	controllers := float64(electionConfig.Controllers)
	s := &State{
		cfg: cfg, electionConfig: electionConfig, now: now, startedAt: now,
		random:       rand.New(rand.NewPCG(cfg.Incarnation, uint64(len(cfg.Self)))),
		pendingCalls: map[uint64]func(any){},
		types:        map[string]*model.MachineType{},
		jobs:         map[string]*job{},
		active:       map[string]*job{},
		machines:     map[string]*machine{},
		// Each controller limits itself to its share of the state service's rate, so
		// that a burst on one does not get another's requests refused. The cloud's
		// rate is not divided: only the leader calls the cloud regularly.
		storeRate: rate.NewLimiter(rate.Limit(cfg.StoreRPS*0.95/controllers), max(1, int(cfg.StoreRPS*0.95/controllers))),
		writeRate: rate.NewLimiter(1, 1), // setWriteRate sets the values below
		cloudRate: rate.NewLimiter(rate.Limit(cfg.CloudRPS*0.8), max(1, int(cfg.CloudRPS*0.8))),
	}
	s.setWriteRate(false)
	s.replica.init()
	s.voter = election.NewVoter(electionConfig, now)
	s.peers = map[string]*peerState{}
	for _, peer := range cfg.Peers {
		s.peers[peer] = &peerState{}
	}
	s.dispatcher = sched.NewDispatcher(sched.Config{SkipLimit: cfg.SkipLimit})
	s.userRequests.init(cfg.Incarnation)
	s.cancellationState.unacknowledged = map[string]uint64{}
	s.watched = map[string]*cancellationRecord{}
	s.pageHosts, s.commandsInFlightByZone = map[int][]string{}, map[string]int{}
	// Controllers that start together must not all campaign at the same instant.
	s.campaignAt = now + time.Duration(s.random.Float64()*float64(electionConfig.PromiseDuration)/8)
	return s
}

// Step handles one event at now and returns the effects to carry out. An earlier now
// than that of the event before counts as the same time. The caller owns the returned
// slice.
func (s *State) Step(now time.Duration, event Event) []Effect {
	if now > s.now {
		s.now = now
	}
	s.effects = nil
	switch e := event.(type) {
	case Tick:
		s.wallMs, s.wallReadAt = e.WallMs, s.now
		s.tick()
	case Submit:
		s.submit(requester{requestID: e.RequestID}, e.Job, e.WallMs)
	case Poll:
		s.poll(requester{requestID: e.RequestID}, e.ID)
	case Cancel:
		s.cancel(requester{requestID: e.RequestID}, e.ID)
	case HealthCheck:
		s.answerHealthCheck(e.RequestID)
	case WorkerReport:
		s.handleReport(e)
	case StoreResult:
		s.completeCall(e.CallID, e)
	case CloudResult:
		s.completeCall(e.CallID, e)
	case AgentResult:
		s.completeCall(e.CallID, e)
	case PeerIn:
		s.handlePeerMessage(e.From, e.Msg)
	}
	s.stepDownIfExpired()
	s.sendLinearizableRead()
	s.sendNextTxn()
	if s.dispatchNeeded && s.now >= s.nextRoundAt && s.IsLeader() {
		s.dispatch()
	}
	return s.effects
}

// tick does the time-driven work. The order of the calls matters: earlier ones can make
// later ones possible.
func (s *State) tick() {
	s.maintainWatch()
	s.refreshTypes()
	s.expireForwards()
	s.answerPendingConfirmations()
	s.storeOwnVersion()
	s.announceRestart()
	s.campaign()
	s.reviewCancellations()
	if !s.IsLeader() {
		return
	}
	s.expireLeases()
	s.stopBeforeReclaim()
	s.findSlowMachines()
	s.abortIncompleteGangs()
	s.maintainRegistry()
	s.writeBitmaps()
	s.answerHeldReports()
	s.sendCommands()
	s.cloudTick()
	s.sendRunningCounts()
	if s.now >= s.nextTimedRoundAt && s.hasWaitingTasks() {
		// The passage of time alone can make a task schedulable or end its wait
		// in a local queue.
		s.nextTimedRoundAt = s.now + s.cfg.ReportInterval/6
		s.dispatchNeeded = true
	}
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) log(level slog.Level, text string, args ...any) {
	s.emit(Log{level, text, args})
}

// registerCall returns the id of a new call to another component. When the call
// completes, done gets its result.
func (s *State) registerCall(done func(any)) uint64 {
	s.lastCallID++
	s.pendingCalls[s.lastCallID] = done
	return s.lastCallID
}

// completeCall passes the result of a call to its callback. Results of unknown calls
// are ignored.
func (s *State) completeCall(callID uint64, result any) {
	done, ok := s.pendingCalls[callID]
	if !ok {
		return
	}
	delete(s.pendingCalls, callID)
	done(result)
}

// callStore sends a call to the state service, with a timeout of one second unless the
// call sets one. When the call completes, done gets its result. Every answer but a refusal
// (503 or 429) counts as contact with the service.
func (s *State) callStore(call StoreCall, done func(StoreResult)) {
	sentAt := s.now
	call.CallID = s.registerCall(func(untyped any) {
		result := untyped.(StoreResult)
		if result.Status != 0 && result.Status != 503 && result.Status != 429 {
			s.recordStoreContact(sentAt)
		}
		done(result)
	})
	if call.Timeout == 0 {
		call.Timeout = time.Second
	}
	s.emit(call)
}

// limiterTime returns the monotonic time in the form that the rate limiters need.
func (s *State) limiterTime() time.Time { return time.Unix(0, 0).Add(s.now) }

// mustMarshal encodes a value of one of this package's own types as JSON.
func mustMarshal(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic("core: encoding a value as JSON: " + err.Error())
	}
	return b
}

// sortedKeys returns a map's keys in order. No decision may depend on the iteration order
// of a map, or replaying a trace of events would give other effects.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
