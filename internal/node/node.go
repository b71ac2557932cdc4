// Package node runs the core of a controller (package core, which makes all decisions
// and does no input or output). One goroutine owns the core's state: it passes events to
// the state and carries out the effects that the state returns (replies, log lines,
// messages to other controllers, calls to the state service, the cloud and the workers).
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

// maxLogLinesPerSecond bounds the log lines of the core below the level error. A burst
// may hold the lines of ten seconds, which is one line for each of 2,000 machines when
// all of them are lost together. The log says how many lines were dropped.
const maxLogLinesPerSecond = 200

// maxTickInterval bounds the time between two ticks if the report interval is long.
// A new leader queries its machines on ticks, so longer intervals delay its takeover
// of a large fleet.
const maxTickInterval = 100 * time.Millisecond

// Controller connects the core of one controller with the network.
type Controller struct {
	settings    *config.Settings
	workerLease time.Duration // lease duration of the workers
	startedAt   time.Time
	// tickInterval is as long as the shortest interval between two dispatch rounds (a
	// 24th of the report interval), but at most maxTickInterval. It is no shorter because
	// each tick wakes the process up, which costs more on a small machine than the work
	// of the tick itself.
	tickInterval time.Duration
	state        *core.State

	urgentEvents      chan core.Event // messages of peers and results of calls: leadership depends on them
	requests          chan request    // from users and workers
	nextID            atomic.Uint64
	pendingRequests   map[uint64]request // requests without a reply so far, by id
	nextExpiryCheckAt time.Duration      // when pendingRequests is next searched for expired requests

	store     *statestore.Client
	cloud     *cloud.Client
	agent     *agent.Client
	peerLinks map[string]*peer.Link

	// logLimiter keeps a flood of log lines from using up processor time that the
	// scheduler needs.
	logLimiter      *rate.Limiter
	droppedLogLines int // since the last line that was logged

	publicListener *web.LimitedListener
}

// New returns a controller with checked settings. Run serves it. The incarnation
// number differs each time the process is started.
func New(settings *config.Settings, incarnation uint64) *Controller {
	sockets := settings.SocketLimits()
	// The requests channel has no buffer: requests wait in package web, one for each
	// connection, and most of them are decoded only when it is their turn. The urgent
	// events are mostly results of calls of this controller. Each call needs a socket, so
	// the buffer has one place for each socket.
	c := &Controller{settings: settings, startedAt: time.Now(), requests: make(chan request),
		urgentEvents:    make(chan core.Event, settings.Params.Limits.Files),
		pendingRequests: map[uint64]request{}, peerLinks: map[string]*peer.Link{},
		logLimiter: rate.NewLimiter(maxLogLinesPerSecond, 10*maxLogLinesPerSecond)}
	cfg := settings.CoreConfig(incarnation)
	cfg.DebugLog = slog.Default().Enabled(context.Background(), slog.LevelDebug)
	cfg.RoundBudget = settings.RoundBudget
	cfg.Stopwatch = func() func() time.Duration {
		startedAt := c.Now()
		return func() time.Duration { return c.Now() - startedAt }
	}
	c.state, c.workerLease, c.tickInterval = core.New(cfg, c.Now()), cfg.Lease, min(cfg.ReportInterval/24, maxTickInterval)
	reportInterval := cfg.ReportInterval
	dialer := &net.Dialer{Timeout: reportInterval}
	newClient := func(perHost, idle int) *http.Client {
		return &http.Client{
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
					conn, err := dialer.DialContext(ctx, network, addr)
					if err != nil {
						return nil, err
					}
					return direct.Wrap(conn), nil
				},
				MaxIdleConnsPerHost: perHost,
				MaxIdleConns:        idle,
				IdleConnTimeout:     time.Minute,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	c.store = &statestore.Client{Addr: settings.Services.State, HTTP: newClient(8, 8)}
	c.cloud = &cloud.Client{Addr: settings.Services.Cloud, HTTP: newClient(4, 4), Timeout: 5 * time.Second}
	// A direct command (a call to a worker) that is not answered within a report interval
	// is given up: the worker's next report shows the outcome of the command.
	c.agent = &agent.Client{HTTP: newClient(1, sockets.IdleWorkers), Timeout: reportInterval, Now: c.Now}
	for _, p := range settings.Peers {
		c.peerLinks[p.Name] = peer.NewLink(settings.Name, p.Addr, cfg.Lease/8)
	}
	return c
}

// Now returns the time since the start of the process by the monotonic clock.
func (c *Controller) Now() time.Duration { return time.Since(c.startedAt) }

// Run serves until ctx is cancelled or a listener fails.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	publicListener, err := net.Listen("tcp", c.settings.APIAddr)
	if err != nil {
		return fmt.Errorf("listen for users and workers: %w", err)
	}
	defer publicListener.Close()
	peerListener, err := net.Listen("tcp", c.settings.PeerAddr)
	if err != nil {
		return fmt.Errorf("listen for controllers: %w", err)
	}
	defer peerListener.Close()
	slog.Info("serving", "node", c.settings.Name, "api", c.settings.APIAddr, "peers", c.settings.PeerAddr)

	c.publicListener = web.LimitListener(publicListener, c.settings.SocketLimits().Public)
	server := &web.Server{Handler: api.Handler(c, int64(c.settings.Params.Limits.MemoryMB*(1<<20)/16)), Timeout: 2 * c.workerLease}
	errs := make(chan error, 2)
	go func() { errs <- server.Serve(ctx, c.publicListener) }()
	go func() {
		errs <- peer.Serve(ctx, peerListener, func(from string, m core.PeerMsg) { c.postUrgent(ctx, core.PeerIn{From: from, Msg: m}) })
	}()
	for _, link := range c.peerLinks {
		go link.Run(ctx)
	}
	tick := time.NewTicker(c.tickInterval)
	defer tick.Stop()
	c.tick(ctx)
	for {
		if err := c.handleNext(ctx, tick.C, errs); err != nil || ctx.Err() != nil {
			return err
		}
	}
}

// handleNext waits for one event and passes it to the core. Urgent events and ticks are
// handled before requests: otherwise a flood of worker reports would delay the renewal of
// the leadership, and the leader that has to handle the reports would lose its term.
func (c *Controller) handleNext(ctx context.Context, tick <-chan time.Time, errs <-chan error) error {
	select {
	case ev := <-c.urgentEvents:
		c.step(ctx, ev)
		return nil
	case <-tick:
		c.tick(ctx)
		return nil
	default:
	}
	select {
	case <-ctx.Done():
	case err := <-errs:
		if err != nil && ctx.Err() == nil {
			return fmt.Errorf("serve: %w", err)
		}
	case ev := <-c.urgentEvents:
		c.step(ctx, ev)
	case <-tick:
		c.tick(ctx)
	case req := <-c.requests:
		c.handleRequest(ctx, req)
	}
	return nil
}

// request is a request of a user or a worker. It gets exactly one reply, at the latest
// soon after its deadline.
type request struct {
	id       uint64
	event    core.Event
	deadline time.Duration   // by Controller.Now
	reply    chan core.Reply // holds one reply; status 0 means that the deadline has passed
}

// handleRequest passes a request to the core, unless its deadline has passed. On an
// overloaded processor, handling expired requests would delay those whose clients
// still wait, and a report that old no longer describes the state of its machine.
func (c *Controller) handleRequest(ctx context.Context, req request) {
	if c.Now() >= req.deadline {
		req.reply <- core.Reply{}
		return
	}
	c.pendingRequests[req.id] = req
	c.step(ctx, req.event)
}

// tick triggers the time-driven work of the core, and ends the pending requests whose
// deadline has passed.
func (c *Controller) tick(ctx context.Context) {
	c.step(ctx, core.Tick{WallMs: time.Now().UnixMilli()})
	now := c.Now()
	if now < c.nextExpiryCheckAt {
		return
	}
	c.nextExpiryCheckAt = now + expiryCheckInterval
	for id, req := range c.pendingRequests {
		if now >= req.deadline {
			delete(c.pendingRequests, id)
			req.reply <- core.Reply{}
		}
	}
}

// expiryCheckInterval is the minimum time between two searches for expired requests. The
// search is part of a tick, so a client learns at most this interval and a tickInterval
// after its deadline that there is no reply.
const expiryCheckInterval = 200 * time.Millisecond

// step passes one event to the state and carries out the effects.
func (c *Controller) step(ctx context.Context, ev core.Event) {
	for _, e := range c.state.Step(c.Now(), ev) {
		switch e := e.(type) {
		case core.Reply:
			if req, ok := c.pendingRequests[e.RequestID]; ok {
				delete(c.pendingRequests, e.RequestID)
				req.reply <- e
			}
		case core.StoreCall:
			go func() { c.postUrgent(ctx, c.store.Do(ctx, e)) }()
		case core.CloudCall:
			go func() { c.postUrgent(ctx, c.cloud.Do(ctx, e)) }()
		case core.AgentCall:
			go func() { c.postUrgent(ctx, c.agent.Do(ctx, e)) }()
		case core.PeerOut:
			if link := c.peerLinks[e.To]; link != nil {
				link.Send(e.Msg)
			}
		case core.Log:
			if e.Level < slog.LevelError && !c.logLimiter.Allow() {
				c.droppedLogLines++
				continue
			}
			if c.droppedLogLines > 0 {
				slog.Warn("log lines left out", "count", c.droppedLogLines)
				c.droppedLogLines = 0
			}
			slog.Log(ctx, e.Level, e.Text, e.Args...)
		}
	}
}

// postUrgent passes an event to the goroutine that owns the state, or drops it if ctx is
// cancelled.
func (c *Controller) postUrgent(ctx context.Context, ev core.Event) {
	select {
	case c.urgentEvents <- ev:
	case <-ctx.Done():
	}
}

// Process implements api.Backend.
func (c *Controller) Process(makeEvent func(uint64) core.Event, deadline time.Duration, onAccepted func()) (core.Reply, bool) {
	id := c.nextID.Add(1)
	req := request{id: id, event: makeEvent(id), deadline: deadline, reply: make(chan core.Reply, 1)}
	c.requests <- req
	onAccepted()
	reply := <-req.reply
	return reply, reply.Status != 0
}

// IsNearSocketLimit implements api.Backend. Near the limit, the connections of workers are
// closed after each report: a worker can open a new one for its next report a few seconds
// later, but a user who gets no socket is refused.
func (c *Controller) IsNearSocketLimit() bool { return c.publicListener.IsNearLimit() }
