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
	cfg Config
	ecf election.Config
	now time.Duration
	// born is when this process began.
	born time.Duration
	// wall is the time of day at the last tick.
	wall     int64
	wallRead time.Duration // when that was
	out      []Effect
	rnd      *rand.Rand

	calls map[uint64]func(any)
	seq   uint64

	storeRate, writeRate, cloudRate *rate.Limiter

	replica
	writer
	users
	cancels
	cancellationWatch
	leadState
	versionState

	// The leader's own bookkeeping, which a new term starts afresh.
	takeoverState
	dispatchState
	reportState
	commandState
	rosterState
	bitmapState
	gangState
	slowState
	fleetState

	types    map[string]*model.MachineType
	typeList []model.MachineType
	typesAt  time.Duration

	jobs      map[string]*job
	active    map[string]*job
	machines  map[string]*machine
	order     []*machine       // all machines by name: whatever goes over them goes in this order
	pageHosts map[int][]string // machines on each page of the roster, as last read
	orphaned  []*machine       // those with tasks that they shouldn't have
}

// promise is how long key and promise live: a part of the workers' lease. A
// successor can follow when both are over, and a controller that starts anew
// sleeps as long before it promises anything. What is left of the lease must
// cover a restart of the controllers, and the workers' search for the successor.
func promise(cfg Config) time.Duration { return cfg.Lease * 3 / 16 }

// New makes the state of a controller that starts at now.
func New(cfg Config, now time.Duration) *State {
	hold := promise(cfg)
	ecf := election.Config{Self: cfg.Self, Nodes: len(cfg.Peers) + 1, KeyLife: hold, Promise: hold, Drift: Drift,
		Staleness: staleness(cfg), ReadLease: cfg.CancelIn}
	nodes := float64(ecf.Nodes)
	s := &State{
		cfg: cfg, ecf: ecf, now: now, born: now,
		rnd:      rand.New(rand.NewPCG(cfg.Boot, uint64(len(cfg.Self)))),
		calls:    map[uint64]func(any){},
		types:    map[string]*model.MachineType{},
		jobs:     map[string]*job{},
		active:   map[string]*job{},
		machines: map[string]*machine{},
		// Each node keeps to its share by itself, so that no burst at one
		// gets another's requests refused.
		storeRate: rate.NewLimiter(rate.Limit(cfg.StoreRPS*0.95/nodes), max(1, int(cfg.StoreRPS*0.95/nodes))),
		writeRate: rate.NewLimiter(1, 1),
		cloudRate: rate.NewLimiter(rate.Limit(cfg.CloudRPS*0.8), max(1, int(cfg.CloudRPS*0.8))),
	}
	s.shareWrites(false)
	s.replica.init()
	s.voter = election.NewVoter(ecf, now)
	s.peers = map[string]*peerState{}
	for _, p := range cfg.Peers {
		s.peers[p] = &peerState{}
	}
	s.round = sched.NewRound(sched.Config{SkipLimit: cfg.SkipLimit})
	s.users.init(cfg.Boot)
	s.cancels.unshared = map[string]uint64{}
	s.watched = map[string]*cancellation{}
	s.pageHosts = map[int][]string{}
	// Controllers that start together must not all run at the same instant.
	s.campaignAt = now + time.Duration(s.rnd.Float64()*float64(ecf.Promise)/8)
	return s
}

// Step takes one event at now and returns what is to be done. The slice is
// the caller's.
func (s *State) Step(now time.Duration, ev Event) []Effect {
	if now > s.now {
		s.now = now
	}
	s.out = nil
	switch e := ev.(type) {
	case Tick:
		s.wall, s.wallRead = e.Wall, s.now
		s.tick()
	case Submit:
		s.submit(origin{req: e.Req}, e.Job, e.Wall)
	case Poll:
		s.poll(origin{req: e.Req}, e.ID)
	case Withdraw:
		s.withdraw(origin{req: e.Req}, e.ID)
	case Up:
		s.up(e.Req)
	case ReportIn:
		s.takeReport(e)
	case StoreDone:
		s.done(e.Call, e)
	case CloudDone:
		s.done(e.Call, e)
	case AgentDone:
		s.done(e.Call, e)
	case PeerIn:
		s.peer(e.From, e.Msg)
	}
	s.checkEntitlement()
	s.pumpSync()
	s.pumpWriter()
	if s.dirty && s.now >= s.nextRound && s.Leading() {
		s.dispatch()
	}
	return s.out
}

// tick does the time-driven work, in the order in which one thing can make
// the next possible.
func (s *State) tick() {
	s.pumpWatch()
	s.pumpTypes()
	s.expireAsks()
	s.tellWaiting()
	s.noteVersion()
	s.announceRestart()
	s.campaign()
	s.reviewCancellations()
	if !s.Leading() {
		return
	}
	s.lapses()
	s.recalls()
	s.findSlow()
	s.reconcileGangs()
	s.keepRoster()
	s.keepBitmaps()
	s.reachOut()
	s.cloudTick()
	s.shareCounts()
	if s.now >= s.idleRound && s.waiting() {
		// Time alone can make a task schedulable or end its wait in a local queue.
		s.idleRound = s.now + s.cfg.ReportEvery/6
		s.dirty = true
	}
}

func (s *State) emit(e Effect) { s.out = append(s.out, e) }

func (s *State) log(level slog.Level, text string, args ...any) {
	s.emit(Log{level, text, args})
}

func (s *State) call(done func(any)) uint64 {
	s.seq++
	s.calls[s.seq] = done
	return s.seq
}

func (s *State) done(call uint64, result any) {
	f, ok := s.calls[call]
	if !ok {
		return
	}
	delete(s.calls, call)
	f(result)
}

// store sends a call to the state service; done gets its end.
func (s *State) store(c StoreCall, done func(StoreDone)) {
	sent := s.now
	c.Call = s.call(func(r any) {
		d := r.(StoreDone)
		if d.Status != 0 && d.Status != 503 && d.Status != 429 {
			s.storeAnswered(sent)
		}
		done(d)
	})
	if c.Timeout == 0 {
		c.Timeout = time.Second
	}
	s.emit(c)
}

func (s *State) at() time.Time { return time.Unix(0, 0).Add(s.now) }

func raw(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic("core: marshal of own type: " + err.Error())
	}
	return b
}

// ordered gives a map's keys in order: what is decided must not hang on the
// order of a map, or a trace would not replay.
func ordered[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
