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

// State is the whole of a controller's knowledge.
type State struct {
	cfg            Config
	electionConfig election.Config
	now            time.Duration
	// startedAt is when this process began.
	startedAt time.Duration
	// wallMs is the time of day at the last tick.
	wallMs     int64
	wallReadAt time.Duration // when that was
	effects    []Effect
	random     *rand.Rand

	pendingCalls map[uint64]func(any)
	lastCallID   uint64

	storeRate, writeRate, cloudRate *rate.Limiter

	replica
	writer
	userRequests
	cancellationState
	cancellationWatch
	leadState
	versionState

	// The leader's own bookkeeping, which a new term starts afresh.
	takeoverState
	dispatchState
	reportState
	commandState
	registryState
	bitmapState
	gangState
	slowState
	fleetState

	types           map[string]*model.MachineType
	typeList        []model.MachineType
	nextTypesReadAt time.Duration

	jobs                map[string]*job
	active              map[string]*job
	machines            map[string]*machine
	machinesByName      []*machine       // all machines by name: whatever goes over them goes in this order
	pageHosts           map[int][]string // machines on each page of the roster, as last read
	machinesWithOrphans []*machine       // those with tasks that they shouldn't have
}

// promiseDuration is how long key and promise live: a part of the workers' lease. A
// successor can follow when both are over, and a controller that starts anew
// sleeps as long before it promises anything. What is left of the lease must
// cover a restart of the controllers, and the workers' search for the successor.
func promiseDuration(cfg Config) time.Duration { return cfg.Lease * 3 / 16 }

// New makes the state of a controller that starts at now.
func New(cfg Config, now time.Duration) *State {
	hold := promiseDuration(cfg)
	ecf := election.Config{Self: cfg.Self, Nodes: len(cfg.Peers) + 1, KeyTTL: hold, PromiseDuration: hold, ClockDrift: ClockDrift,
		MaxStaleness: maxViewAge(cfg), ReadLeaseDuration: cfg.CancelWithin}
	nodes := float64(ecf.Nodes)
	s := &State{
		cfg: cfg, electionConfig: ecf, now: now, startedAt: now,
		random:       rand.New(rand.NewPCG(cfg.Incarnation, uint64(len(cfg.Self)))),
		pendingCalls: map[uint64]func(any){},
		types:        map[string]*model.MachineType{},
		jobs:         map[string]*job{},
		active:       map[string]*job{},
		machines:     map[string]*machine{},
		// Each node keeps to its share by itself, so that no burst at one
		// gets another's requests refused.
		storeRate: rate.NewLimiter(rate.Limit(cfg.StoreRPS*0.95/nodes), max(1, int(cfg.StoreRPS*0.95/nodes))),
		writeRate: rate.NewLimiter(1, 1),
		cloudRate: rate.NewLimiter(rate.Limit(cfg.CloudRPS*0.8), max(1, int(cfg.CloudRPS*0.8))),
	}
	s.setWriteRate(false)
	s.replica.init()
	s.voter = election.NewVoter(ecf, now)
	s.peers = map[string]*peerState{}
	for _, p := range cfg.Peers {
		s.peers[p] = &peerState{}
	}
	s.dispatcher = sched.NewDispatcher(sched.Config{SkipLimit: cfg.SkipLimit})
	s.userRequests.init(cfg.Incarnation)
	s.cancellationState.unacknowledged = map[string]uint64{}
	s.watched = map[string]*cancellationRecord{}
	s.pageHosts = map[int][]string{}
	// Controllers that start together must not all run at the same instant.
	s.campaignAt = now + time.Duration(s.random.Float64()*float64(ecf.PromiseDuration)/8)
	return s
}

// Step takes one event at now and returns what is to be done. The slice is
// the caller's.
func (s *State) Step(now time.Duration, ev Event) []Effect {
	if now > s.now {
		s.now = now
	}
	s.effects = nil
	switch e := ev.(type) {
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

// tick does the time-driven work, in the order in which one thing can make
// the next possible.
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
	s.sendCommands()
	s.cloudTick()
	s.sendRunningCounts()
	if s.now >= s.nextTimedRoundAt && s.hasWaitingTasks() {
		// Time alone can make a task schedulable or end its wait in a local queue.
		s.nextTimedRoundAt = s.now + s.cfg.ReportInterval/6
		s.dispatchNeeded = true
	}
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) log(level slog.Level, text string, args ...any) {
	s.emit(Log{level, text, args})
}

func (s *State) registerCall(done func(any)) uint64 {
	s.lastCallID++
	s.pendingCalls[s.lastCallID] = done
	return s.lastCallID
}

func (s *State) completeCall(call uint64, result any) {
	f, ok := s.pendingCalls[call]
	if !ok {
		return
	}
	delete(s.pendingCalls, call)
	f(result)
}

// callStore sends a call to the state service; done gets its end.
func (s *State) callStore(c StoreCall, done func(StoreResult)) {
	sent := s.now
	c.CallID = s.registerCall(func(r any) {
		d := r.(StoreResult)
		if d.Status != 0 && d.Status != 503 && d.Status != 429 {
			s.recordStoreContact(sent)
		}
		done(d)
	})
	if c.Timeout == 0 {
		c.Timeout = time.Second
	}
	s.emit(c)
}

func (s *State) limiterTime() time.Time { return time.Unix(0, 0).Add(s.now) }

func mustMarshal(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic("core: marshal of own type: " + err.Error())
	}
	return b
}

// sortedKeys gives a map's keys in order: what is decided must not hang on the
// order of a map, or a trace would not replay.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
