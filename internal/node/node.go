// Package node runs the core: one goroutine owns the state, feeds events in
// and carries effects out through the edges.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"mulleinfall/internal/agent"
	"mulleinfall/internal/api"
	"mulleinfall/internal/cloud"
	"mulleinfall/internal/config"
	"mulleinfall/internal/core"
	"mulleinfall/internal/peer"
	"mulleinfall/internal/statestore"
)

// linesPerSecond bounds the core's log; ten seconds' worth may come at once: a
// line for each of 2,000 machines when all of them are lost together. What is
// left out is counted in the log.
const linesPerSecond = 200

// Node is one controller.
type Node struct {
	set   *config.Settings
	lease time.Duration // of the workers
	start time.Time
	state *core.State

	events chan core.Event
	nextID atomic.Uint64
	mu     sync.Mutex
	asks   map[uint64]chan core.Reply

	store *statestore.Client
	cloud *cloud.Client
	agent *agent.Client
	links map[string]*peer.Link

	// A flood of lines would take the processor from what they tell about.
	logs     *rate.Limiter
	unlogged int

	public *limited
}

// New makes a controller from checked settings; Run serves it.
func New(set *config.Settings, boot uint64) *Node {
	sockets := set.Sockets()
	// A connection has one request under way at most, and so one event: with
	// room for one of each socket, a fleet that reports all at once is heard.
	n := &Node{set: set, start: time.Now(), events: make(chan core.Event, set.Params.Limits.Files),
		asks: map[uint64]chan core.Reply{}, links: map[string]*peer.Link{},
		logs: rate.NewLimiter(linesPerSecond, 10*linesPerSecond)}
	cfg := set.Core(boot)
	cfg.Budget = set.Budget
	cfg.Stopwatch = func() func() time.Duration {
		began := n.Now()
		return func() time.Duration { return n.Now() - began }
	}
	n.state, n.lease = core.New(cfg, n.Now()), cfg.Lease
	report := cfg.ReportEvery
	client := func(perHost, idle int) *http.Client {
		return &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: report}).DialContext,
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

	n.public = limit(pub, n.set.Sockets().Public)
	srv := &http.Server{
		Handler:           api.Handler(n),
		ReadHeaderTimeout: 10 * time.Second,
		ReadTimeout:       20 * time.Second,
		// Connections across a cut stay open at this end only: they must not
		// use up the sockets until long after.
		IdleTimeout:    2 * n.lease,
		MaxHeaderBytes: 16 << 10,
		ErrorLog:       slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	errs := make(chan error, 2)
	go func() { errs <- srv.Serve(n.public) }()
	go func() {
		errs <- peer.Serve(ctx, back, func(from string, m core.PeerMsg) { n.post(ctx, core.PeerIn{From: from, Msg: m}) })
	}()
	for _, l := range n.links {
		go l.Run(ctx)
	}
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	n.step(ctx, core.Tick{Wall: time.Now().UnixMilli()})
	for {
		select {
		case <-ctx.Done():
			srv.Close()
			return nil
		case err := <-errs:
			if err != nil && !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serve: %w", err)
			}
		case ev := <-n.events:
			n.step(ctx, ev)
		case <-tick.C:
			n.step(ctx, core.Tick{Wall: time.Now().UnixMilli()})
		}
	}
}

// step feeds one event to the state and carries the effects out.
func (n *Node) step(ctx context.Context, ev core.Event) {
	if n.abandoned(ev) {
		return
	}
	for _, e := range n.state.Step(n.Now(), ev) {
		switch e := e.(type) {
		case core.Reply:
			n.mu.Lock()
			ch := n.asks[e.Req]
			delete(n.asks, e.Req)
			n.mu.Unlock()
			if ch != nil {
				ch <- e
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

// abandoned says whether ev is a question whose asker has been told to come
// back meanwhile: with the processor behind, working on it would put off those
// who still wait, and a report that old says nothing of its machine.
func (n *Node) abandoned(ev core.Event) bool {
	var req uint64
	switch e := ev.(type) {
	case core.Beat:
		req = e.Req
	case core.Submit:
		req = e.Req
	case core.Poll:
		req = e.Req
	case core.Withdraw:
		req = e.Req
	case core.Up:
		req = e.Req
	default:
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	_, asked := n.asks[req]
	return !asked
}

// post hands an event to the owning goroutine.
func (n *Node) post(ctx context.Context, ev core.Event) {
	select {
	case n.events <- ev:
	case <-ctx.Done():
	}
}

// Ask implements api.Asker.
func (n *Node) Ask(make_ func(uint64) core.Event, wait time.Duration) (core.Reply, bool) {
	id := n.nextID.Add(1)
	ch := make(chan core.Reply, 1)
	n.mu.Lock()
	n.asks[id] = ch
	n.mu.Unlock()
	forget := func() {
		n.mu.Lock()
		delete(n.asks, id)
		n.mu.Unlock()
	}
	select {
	case n.events <- make_(id):
	default:
		forget()
		return core.Reply{}, false
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case r := <-ch:
		return r, true
	case <-t.C:
		forget()
		return core.Reply{}, false
	}
}

// Crowded implements api.Asker: too few sockets are left for newcomers. A
// worker reports every few seconds and can as well connect anew each time; a
// user who finds no socket is turned away.
func (n *Node) Crowded() bool { return n.public.crowded() }

// limit bounds the open connections, so that sockets are left for the state
// service, the cloud and the peers.
func limit(ln net.Listener, most int) *limited {
	return &limited{Listener: ln, slots: make(chan struct{}, most)}
}

type limited struct {
	net.Listener
	slots chan struct{}
}

// crowded says whether three quarters of the connections are taken.
func (l *limited) crowded() bool { return len(l.slots)*4 >= cap(l.slots)*3 }

type limitedConn struct {
	net.Conn
	once  sync.Once
	slots chan struct{}
}

func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: c, slots: l.slots}, nil
		default:
			c.Close()
		}
	}
}

func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}
