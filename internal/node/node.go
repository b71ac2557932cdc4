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

// maxLogLinesPerSecond bounds the core's log; ten seconds' worth may come at once: a
// line for each of 2,000 machines when all of them are lost together. What is
// left out is counted in the log.
const maxLogLinesPerSecond = 200

// maxTickInterval bounds the time between two ticks where reports are rare: a new
// leader asks its machines by the tick, and large fleets waited for that.
const maxTickInterval = 100 * time.Millisecond

// Controller is one controller.
type Controller struct {
	settings    *config.Settings
	workerLease time.Duration // of the workers
	startedAt   time.Time
	// tickInterval is that of the ticks: as many as there may be rounds of decisions. Each
	// wakes the process up, which on a small machine costs more than what it does
	// then.
	tickInterval time.Duration
	state        *core.State

	urgentEvents      chan core.Event // what leadership hangs on: peers, state service, cloud, answers to commands
	requests          chan request    // of users and workers
	nextID            atomic.Uint64
	pendingRequests   map[uint64]request // under way
	nextExpiryCheckAt time.Duration      // next look for those that nobody waits for

	store     *statestore.Client
	cloud     *cloud.Client
	agent     *agent.Client
	peerLinks map[string]*peer.Link

	// A flood of lines would take the processor from what they tell about.
	logLimiter      *rate.Limiter
	droppedLogLines int

	publicListener *web.LimitedListener
}

// New makes a controller from checked settings; Run serves it.
func New(set *config.Settings, boot uint64) *Controller {
	sockets := set.SocketLimits()
	// Questions wait at the gate of the public side, one connection each, and not
	// in a queue here: one that waits there has not been read yet. The rest is
	// answers to what this node has asked, on as many sockets.
	n := &Controller{settings: set, startedAt: time.Now(), requests: make(chan request),
		urgentEvents:    make(chan core.Event, set.Params.Limits.Files),
		pendingRequests: map[uint64]request{}, peerLinks: map[string]*peer.Link{},
		logLimiter: rate.NewLimiter(maxLogLinesPerSecond, 10*maxLogLinesPerSecond)}
	cfg := set.CoreConfig(boot)
	cfg.DebugLog = slog.Default().Enabled(context.Background(), slog.LevelDebug)
	cfg.RoundBudget = set.RoundBudget
	cfg.Stopwatch = func() func() time.Duration {
		began := n.Now()
		return func() time.Duration { return n.Now() - began }
	}
	n.state, n.workerLease, n.tickInterval = core.New(cfg, n.Now()), cfg.Lease, min(cfg.ReportInterval/24, maxTickInterval)
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
					return direct.Wrap(c), nil
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
	n.agent = &agent.Client{HTTP: client(1, sockets.IdleWorkers), Timeout: report, Now: n.Now}
	for _, p := range set.Peers {
		n.peerLinks[p.Name] = peer.NewLink(set.Name, p.Addr, cfg.Lease/8)
	}
	return n
}

// Now is the steady clock, counted from the start of the process.
func (n *Controller) Now() time.Duration { return time.Since(n.startedAt) }

// Run serves until ctx ends or a listener fails.
func (n *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pub, err := net.Listen("tcp", n.settings.APIAddr)
	if err != nil {
		return fmt.Errorf("listen for users and workers: %w", err)
	}
	defer pub.Close()
	back, err := net.Listen("tcp", n.settings.PeerAddr)
	if err != nil {
		return fmt.Errorf("listen for controllers: %w", err)
	}
	defer back.Close()
	slog.Info("serving", "node", n.settings.Name, "api", n.settings.APIAddr, "peers", n.settings.PeerAddr)

	n.publicListener = web.LimitListener(pub, n.settings.SocketLimits().Public)
	srv := &web.Server{Handler: api.Handler(n, int64(n.settings.Params.Limits.MemoryMB*(1<<20)/16)), Timeout: 2 * n.workerLease}
	errs := make(chan error, 2)
	go func() { errs <- srv.Serve(ctx, n.publicListener) }()
	go func() {
		errs <- peer.Serve(ctx, back, func(from string, m core.PeerMsg) { n.postUrgent(ctx, core.PeerIn{From: from, Msg: m}) })
	}()
	for _, l := range n.peerLinks {
		go l.Run(ctx)
	}
	tick := time.NewTicker(n.tickInterval)
	defer tick.Stop()
	n.tick(ctx)
	for {
		if err := n.handleNext(ctx, tick.C, errs); err != nil || ctx.Err() != nil {
			return err
		}
	}
}

// handleNext carries one event to the core. A flood of reports must not put off
// renewals, or the leadership that the reports need is lost to them: what
// leadership hangs on goes first.
func (n *Controller) handleNext(ctx context.Context, tick <-chan time.Time, errs <-chan error) error {
	select {
	case ev := <-n.urgentEvents:
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
	case ev := <-n.urgentEvents:
		n.step(ctx, ev)
	case <-tick:
		n.tick(ctx)
	case q := <-n.requests:
		n.handleRequest(ctx, q)
	}
	return nil
}

// request is what a user or a worker asks. Whoever waits for it is told by
// until, one way or the other.
type request struct {
	id       uint64
	event    core.Event
	deadline time.Duration
	reply    chan core.Reply // takes one; status 0: none in time
}

// handleRequest works on a question, unless its time is over: with the processor
// behind, that would put off those who still wait, and a report that old says
// nothing of its machine.
func (n *Controller) handleRequest(ctx context.Context, q request) {
	if n.Now() >= q.deadline {
		q.reply <- core.Reply{}
		return
	}
	n.pendingRequests[q.id] = q
	n.step(ctx, q.event)
}

// tick lets time-driven work happen, and ends the questions that have had no
// answer in time.
func (n *Controller) tick(ctx context.Context) {
	n.step(ctx, core.Tick{WallMs: time.Now().UnixMilli()})
	now := n.Now()
	if now < n.nextExpiryCheckAt {
		return
	}
	n.nextExpiryCheckAt = now + expiryCheckInterval
	for id, q := range n.pendingRequests {
		if now >= q.deadline {
			delete(n.pendingRequests, id)
			q.reply <- core.Reply{}
		}
	}
}

// expiryCheckInterval is how late an asker may be told that there is no answer.
const expiryCheckInterval = 200 * time.Millisecond

// step feeds one event to the state and carries the effects out.
func (n *Controller) step(ctx context.Context, ev core.Event) {
	for _, e := range n.state.Step(n.Now(), ev) {
		switch e := e.(type) {
		case core.Reply:
			if q, ok := n.pendingRequests[e.RequestID]; ok {
				delete(n.pendingRequests, e.RequestID)
				q.reply <- e
			}
		case core.StoreCall:
			go func() { n.postUrgent(ctx, n.store.Do(ctx, e)) }()
		case core.CloudCall:
			go func() { n.postUrgent(ctx, n.cloud.Do(ctx, e)) }()
		case core.AgentCall:
			go func() { n.postUrgent(ctx, n.agent.Do(ctx, e)) }()
		case core.PeerOut:
			if l := n.peerLinks[e.To]; l != nil {
				l.Send(e.Msg)
			}
		case core.Log:
			if e.Level < slog.LevelError && !n.logLimiter.Allow() {
				n.droppedLogLines++
				continue
			}
			if n.droppedLogLines > 0 {
				slog.Warn("log lines left out", "count", n.droppedLogLines)
				n.droppedLogLines = 0
			}
			slog.Log(ctx, e.Level, e.Text, e.Args...)
		}
	}
}

// postUrgent hands an event to the owning goroutine.
func (n *Controller) postUrgent(ctx context.Context, ev core.Event) {
	select {
	case n.urgentEvents <- ev:
	case <-ctx.Done():
	}
}

// Process implements api.Asker.
func (n *Controller) Process(make_ func(uint64) core.Event, until time.Duration, accepted func()) (core.Reply, bool) {
	id := n.nextID.Add(1)
	q := request{id: id, event: make_(id), deadline: until, reply: make(chan core.Reply, 1)}
	n.requests <- q
	accepted()
	r := <-q.reply
	return r, r.Status != 0
}

// IsNearSocketLimit implements api.Asker: too few sockets are left for newcomers. A
// worker reports every few seconds and can as well connect anew each time; a
// user who finds no socket is turned away.
func (n *Controller) IsNearSocketLimit() bool { return n.publicListener.IsNearLimit() }
