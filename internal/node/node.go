// Package node runs the core: one goroutine owns the state, feeds events in
// and carries effects out through the edges.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"mulleinfall/internal/agent"
	"mulleinfall/internal/api"
	"mulleinfall/internal/cloud"
	"mulleinfall/internal/config"
	"mulleinfall/internal/core"
	"mulleinfall/internal/direct"
	"mulleinfall/internal/peer"
	"mulleinfall/internal/statestore"
	"mulleinfall/internal/web"
)

// linesPerSecond bounds the core's log; ten seconds' worth may come at once: a
// line for each of 2,000 machines when all of them are lost together. What is
// left out is counted in the log.
const linesPerSecond = 200

// slowestPace bounds the time between two ticks where reports are rare: a new
// leader asks its machines by the tick, and large fleets waited for that.
const slowestPace = 100 * time.Millisecond

// Node is one controller.
type Node struct {
	set   *config.Settings
	lease time.Duration // of the workers
	start time.Time
	// pace is that of the ticks: as many as there may be rounds of decisions. Each
	// wakes the process up, which on a small machine costs more than what it does
	// then.
	pace  time.Duration
	state *core.State

	urgent    chan core.Event // what leadership hangs on: peers, state service, cloud, answers to commands
	questions chan question   // of users and workers
	nextID    atomic.Uint64
	asked     map[uint64]question // under way
	overdueAt time.Duration       // next look for those that nobody waits for

	store *statestore.Client
	cloud *cloud.Client
	agent *agent.Client
	links map[string]*peer.Link

	// A flood of lines would take the processor from what they tell about.
	logs     *rate.Limiter
	unlogged int

	public *web.Bound
}

// New makes a controller from checked settings; Run serves it.
func New(set *config.Settings, boot uint64) *Node {
	sockets := set.Sockets()
	// Questions wait at the gate of the public side, one connection each, and not
	// in a queue here: one that waits there has not been read yet. The rest is
	// answers to what this node has asked, on as many sockets.
	n := &Node{set: set, start: time.Now(), questions: make(chan question),
		urgent: make(chan core.Event, set.Params.Limits.Files),
		asked:  map[uint64]question{}, links: map[string]*peer.Link{},
		logs: rate.NewLimiter(linesPerSecond, 10*linesPerSecond)}
	cfg := set.Core(boot)
	cfg.DebugLog = slog.Default().Enabled(context.Background(), slog.LevelDebug)
	cfg.RoundBudget = set.Budget
	cfg.Stopwatch = func() func() time.Duration {
		began := n.Now()
		return func() time.Duration { return n.Now() - began }
	}
	n.state, n.lease, n.pace = core.New(cfg, n.Now()), cfg.Lease, min(cfg.ReportInterval/24, slowestPace)
	report := cfg.ReportInterval
	dialer := &net.Dialer{Timeout: report}
	client := func(perHost, idle int) *http.Client {
		return &http.Client{
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
					c, err := dialer.DialContext(ctx, network, addr)
					if err != nil {
						return nil, err
					}
					return direct.Conn(c), nil
				},
				MaxIdleConnsPerHost: perHost,
				MaxIdleConns:        idle,
				IdleConnTimeout:     time.Minute,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	n.store = &statestore.Client{Addr: set.Services.State, HTTP: client(8, 8)}
	n.cloud = &cloud.Client{Addr: set.Services.Cloud, HTTP: client(4, 4), Timeout: 5 * time.Second}
	// A direct command that has no answer within a report's time is left to
	// the reports.
	n.agent = &agent.Client{HTTP: client(1, sockets.Idle), Timeout: report, Now: n.Now}
	for _, p := range set.Peers {
		n.links[p.Name] = peer.NewLink(set.Name, p.Addr, cfg.Lease/8)
	}
	return n
}

// Now is the steady clock, counted from the start of the process.
func (n *Node) Now() time.Duration { return time.Since(n.start) }

// Run serves until ctx ends or a listener fails.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pub, err := net.Listen("tcp", n.set.Listen)
	if err != nil {
		return fmt.Errorf("listen for users and workers: %w", err)
	}
	defer pub.Close()
	back, err := net.Listen("tcp", n.set.PeerAddr)
	if err != nil {
		return fmt.Errorf("listen for controllers: %w", err)
	}
	defer back.Close()
	slog.Info("serving", "node", n.set.Name, "api", n.set.Listen, "peers", n.set.PeerAddr)

	n.public = web.Limit(pub, n.set.Sockets().Public)
	srv := &web.Server{Handler: api.Handler(n, int64(n.set.Params.Limits.MemoryMB*(1<<20)/16)), Timeout: 2 * n.lease}
	errs := make(chan error, 2)
	go func() { errs <- srv.Serve(ctx, n.public) }()
	go func() {
		errs <- peer.Serve(ctx, back, func(from string, m core.PeerMsg) { n.post(ctx, core.PeerIn{From: from, Msg: m}) })
	}()
	for _, l := range n.links {
		go l.Run(ctx)
	}
	tick := time.NewTicker(n.pace)
	defer tick.Stop()
	n.tick(ctx)
	for {
		if err := n.next(ctx, tick.C, errs); err != nil || ctx.Err() != nil {
			return err
		}
	}
}

// next carries one event to the core. A flood of reports must not put off
// renewals, or the leadership that the reports need is lost to them: what
// leadership hangs on goes first.
func (n *Node) next(ctx context.Context, tick <-chan time.Time, errs <-chan error) error {
	select {
	case ev := <-n.urgent:
		n.step(ctx, ev)
		return nil
	case <-tick:
		n.tick(ctx)
		return nil
	default:
	}
	select {
	case <-ctx.Done():
	case err := <-errs:
		if err != nil && ctx.Err() == nil {
			return fmt.Errorf("serve: %w", err)
		}
	case ev := <-n.urgent:
		n.step(ctx, ev)
	case <-tick:
		n.tick(ctx)
	case q := <-n.questions:
		n.take(ctx, q)
	}
	return nil
}

// question is what a user or a worker asks. Whoever waits for it is told by
// until, one way or the other.
type question struct {
	id    uint64
	event core.Event
	until time.Duration
	reply chan core.Reply // takes one; status 0: none in time
}

// take works on a question, unless its time is over: with the processor
// behind, that would put off those who still wait, and a report that old says
// nothing of its machine.
func (n *Node) take(ctx context.Context, q question) {
	if n.Now() >= q.until {
		q.reply <- core.Reply{}
		return
	}
	n.asked[q.id] = q
	n.step(ctx, q.event)
}

// tick lets time-driven work happen, and ends the questions that have had no
// answer in time.
func (n *Node) tick(ctx context.Context) {
	n.step(ctx, core.Tick{WallMs: time.Now().UnixMilli()})
	now := n.Now()
	if now < n.overdueAt {
		return
	}
	n.overdueAt = now + overdueEvery
	for id, q := range n.asked {
		if now >= q.until {
			delete(n.asked, id)
			q.reply <- core.Reply{}
		}
	}
}

// overdueEvery is how late an asker may be told that there is no answer.
const overdueEvery = 200 * time.Millisecond

// step feeds one event to the state and carries the effects out.
func (n *Node) step(ctx context.Context, ev core.Event) {
	for _, e := range n.state.Step(n.Now(), ev) {
		switch e := e.(type) {
		case core.Reply:
			if q, ok := n.asked[e.RequestID]; ok {
				delete(n.asked, e.RequestID)
				q.reply <- e
			}
		case core.StoreCall:
			go func() { n.post(ctx, n.store.Do(ctx, e)) }()
		case core.CloudCall:
			go func() { n.post(ctx, n.cloud.Do(ctx, e)) }()
		case core.AgentCall:
			go func() { n.post(ctx, n.agent.Do(ctx, e)) }()
		case core.PeerOut:
			if l := n.links[e.To]; l != nil {
				l.Send(e.Msg)
			}
		case core.Log:
			if e.Level < slog.LevelError && !n.logs.Allow() {
				n.unlogged++
				continue
			}
			if n.unlogged > 0 {
				slog.Warn("log lines left out", "count", n.unlogged)
				n.unlogged = 0
			}
			slog.Log(ctx, e.Level, e.Text, e.Args...)
		}
	}
}

// post hands an event to the owning goroutine.
func (n *Node) post(ctx context.Context, ev core.Event) {
	select {
	case n.urgent <- ev:
	case <-ctx.Done():
	}
}

// Ask implements api.Asker.
func (n *Node) Ask(make_ func(uint64) core.Event, until time.Duration, accepted func()) (core.Reply, bool) {
	id := n.nextID.Add(1)
	q := question{id: id, event: make_(id), until: until, reply: make(chan core.Reply, 1)}
	n.questions <- q
	accepted()
	r := <-q.reply
	return r, r.Status != 0
}

// Crowded implements api.Asker: too few sockets are left for newcomers. A
// worker reports every few seconds and can as well connect anew each time; a
// user who finds no socket is turned away.
func (n *Node) Crowded() bool { return n.public.Crowded() }
