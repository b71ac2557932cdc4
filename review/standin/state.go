package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stateService is the stand-in of the state service: a key-value store with revisions,
// leases, transactions and watches. Each controller reaches it at an address of its own,
// so that the service can refuse one controller alone.
type stateService struct {
	mu       sync.Mutex
	changed  *sync.Cond
	site     *site
	rec      *recorder
	rev      uint64
	keys     map[string]*storedKey
	news     []change
	grants   map[uint64]*grant
	lastID   uint64
	outage   bool
	refused  map[string]bool // controllers that get 503 while others are served
	requests bucket
	writes   bucket
	// fate, if set, decides what happens to a transaction of a controller.
	fate func(node string, body string) txnFate
}

// txnFate is what happens to a transaction: it is carried out this much later, and gets
// no answer if unanswered is set.
type txnFate struct {
	unanswered bool
	delay      time.Duration
}

type storedKey struct {
	value json.RawMessage
	stamp uint64
	grant uint64
}

type change struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

type grant struct {
	life time.Duration
	ends time.Time
}

// bucket is a rate limit with a burst of one second's worth.
type bucket struct {
	rate, left float64
	at         time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.left = b.rate
	} else {
		b.left = min(b.rate, b.left+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.left < n {
		return false
	}
	b.left -= n
	return true
}

func newStateService(s *site, rec *recorder) *stateService {
	st := &stateService{site: s, rec: rec, keys: map[string]*storedKey{}, grants: map[uint64]*grant{}, refused: map[string]bool{},
		requests: bucket{rate: s.stateRPS}, writes: bucket{rate: s.stateWriteRPS}}
	st.changed = sync.NewCond(&st.mu)
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			st.endGrants()
		}
	}()
	return st
}

// serveNode serves one controller at an address of its own, which is returned.
func (st *stateService) serveNode(node string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { st.serve(node, w, r) })
	go func() { _ = http.Serve(ln, handler) }()
	return ln.Addr().String(), nil
}

// endGrants removes the keys of leases that have ended. During an outage no lease ends.
func (st *stateService) endGrants() {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.outage {
		return
	}
	for id, g := range st.grants {
		if time.Now().After(g.ends) {
			st.endGrant(id)
		}
	}
}

func (st *stateService) endGrant(id uint64) {
	delete(st.grants, id)
	var gone []string
	for k, v := range st.keys {
		if v.grant == id {
			gone = append(gone, k)
		}
	}
	if len(gone) == 0 {
		return
	}
	sort.Strings(gone)
	st.rev++
	for _, k := range gone {
		st.rec.logf("state: key %s ends with its lease", k)
		delete(st.keys, k)
		st.news = append(st.news, change{Remove: k, Stamp: st.rev})
	}
	st.changed.Broadcast()
}

// setOutage begins or ends an outage for all controllers. After an outage all leases get
// their full time again.
func (st *stateService) setOutage(on bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.outage = on
	if !on {
		for _, g := range st.grants {
			g.ends = time.Now().Add(g.life)
		}
	}
	st.changed.Broadcast()
	st.rec.sayf("TROUBLE state service out: %v", on)
}

// setFate sets what happens to transactions from now on; nil: they are carried out and
// answered.
func (st *stateService) setFate(f func(node, body string) txnFate) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.fate = f
	st.rec.sayf("TROUBLE transactions without an answer: %v", f != nil)
}

// refuse makes the service refuse one controller, or serve it again.
func (st *stateService) refuse(node string, on bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.refused[node] = on
	st.changed.Broadcast()
	st.rec.sayf("TROUBLE state service refuses %s: %v", node, on)
}

// value returns the value of a key, or nil.
func (st *stateService) value(key string) json.RawMessage {
	st.mu.Lock()
	defer st.mu.Unlock()
	if k := st.keys[key]; k != nil {
		return k.value
	}
	return nil
}

func answer(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		status, b = 500, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (st *stateService) serve(node string, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	time.Sleep(2 * time.Millisecond)
	st.mu.Lock()
	if st.outage || st.refused[node] {
		st.mu.Unlock()
		answer(w, 503, map[string]string{"error": "trouble"})
		return
	}
	if !st.requests.take(1) {
		st.mu.Unlock()
		answer(w, 429, map[string]string{"error": "too many requests"})
		return
	}
	st.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/keys":
		st.list(w, r)
	case r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/keys/"):
		st.get(w, strings.TrimPrefix(r.URL.Path, "/keys/"))
	case r.Method == http.MethodGet && r.URL.Path == "/watch":
		st.watch(node, w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/multi":
		st.multi(node, w, body)
	case r.Method == http.MethodPost && r.URL.Path == "/grants":
		st.newGrant(w, body)
	case strings.HasPrefix(r.URL.Path, "/grants/"):
		st.changeGrant(w, r)
	default:
		answer(w, 400, map[string]string{"error": "malformed"})
	}
}

func (st *stateService) get(w http.ResponseWriter, key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if k := st.keys[key]; k != nil {
		answer(w, 200, map[string]any{"k": key, "value": k.value, "stamp": k.stamp, "tether": k.grant})
		return
	}
	answer(w, 404, map[string]any{"ledgerRev": st.rev})
}

func (st *stateService) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, err := strconv.Atoi(q.Get("page"))
	if err != nil || page < 1 || page > 1000 {
		page = 1000
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	var names []string
	for k := range st.keys {
		if strings.HasPrefix(k, q.Get("under")) && k > q.Get("after") {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	type item struct {
		K     string          `json:"k"`
		Value json.RawMessage `json:"value"`
		Stamp uint64          `json:"stamp"`
	}
	items, size, truncated := []item{}, 0, false
	for _, k := range names {
		if len(items) == page || size > 400<<10 {
			truncated = true
			break
		}
		items = append(items, item{k, st.keys[k].value, st.keys[k].stamp})
		size += len(st.keys[k].value) + len(k) + 64
	}
	answer(w, 200, map[string]any{"items": items, "truncated": truncated, "ledgerRev": st.rev})
}

// watch waits for changes. An open watch waits on during an outage.
func (st *stateService) watch(node string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	blockMs, _ := strconv.Atoi(q.Get("blockMs"))
	until := time.Now().Add(time.Duration(min(blockMs, 60000)) * time.Millisecond)
	wake := time.AfterFunc(time.Until(until)+time.Millisecond, func() {
		st.mu.Lock()
		st.changed.Broadcast()
		st.mu.Unlock()
	})
	defer wake.Stop()
	st.mu.Lock()
	for {
		if st.outage || st.refused[node] {
			if r.Context().Err() != nil {
				st.mu.Unlock()
				return
			}
			st.changed.Wait()
			continue
		}
		news := []change{}
		from := sort.Search(len(st.news), func(i int) bool { return st.news[i].Stamp > after })
		for _, c := range st.news[from:] {
			if strings.HasPrefix(c.Set+c.Remove, q.Get("under")) {
				news = append(news, c)
			}
		}
		if len(news) > 0 || !time.Now().Before(until) {
			rev := st.rev
			st.mu.Unlock()
			answer(w, 200, map[string]any{"ledgerRev": rev, "news": news})
			return
		}
		st.changed.Wait()
	}
}

type txn struct {
	Guards []struct {
		K     string `json:"k"`
		Stamp uint64 `json:"stamp"`
	} `json:"guards"`
	Then []struct {
		Set    string          `json:"set"`
		Value  json.RawMessage `json:"value"`
		Tether uint64          `json:"tether"`
		Remove string          `json:"remove"`
	} `json:"then"`
}

func (st *stateService) multi(node string, w http.ResponseWriter, body []byte) {
	var t txn
	if json.Unmarshal(body, &t) != nil {
		answer(w, 400, map[string]string{"error": "malformed"})
		return
	}
	tooLarge := len(body) > 64<<10 || len(t.Then) > st.site.txnOps || len(t.Guards) > 4*st.site.txnOps
	for _, c := range t.Then {
		tooLarge = tooLarge || len(c.Value) > int(st.site.valueKB*1024)
	}
	if tooLarge {
		st.rec.logf("state: %s transaction too large", node)
		answer(w, 400, map[string]string{"error": "too large"})
		return
	}
	st.mu.Lock()
	decide := st.fate
	st.mu.Unlock()
	if decide != nil {
		if fate := decide(node, string(body)); fate.unanswered {
			st.rec.logf("TROUBLE transaction of %s without an answer, carried out %v later: %.200s", node, fate.delay, body)
			time.AfterFunc(fate.delay, func() {
				status, _ := st.apply(node, t)
				st.rec.logf("state: late transaction of %s: %d", node, status)
			})
			time.Sleep(30 * time.Second)
			panic(http.ErrAbortHandler)
		}
	}
	status, result := st.apply(node, t)
	answer(w, status, result)
}

// apply carries out a transaction.
func (st *stateService) apply(node string, t txn) (int, map[string]any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.writes.take(float64(len(t.Then))) {
		return 429, map[string]any{"error": "too many changes"}
	}
	for _, c := range t.Then {
		if c.Set != "" && c.Tether != 0 && st.grants[c.Tether] == nil {
			return 400, map[string]any{"error": "no such lease"}
		}
	}
	failed := []string{}
	for _, g := range t.Guards {
		stamp := uint64(0)
		if k := st.keys[g.K]; k != nil {
			stamp = k.stamp
		}
		if stamp != g.Stamp {
			failed = append(failed, g.K)
		}
	}
	if len(failed) > 0 {
		return 409, map[string]any{"failed": failed, "ledgerRev": st.rev}
	}
	if len(t.Then) == 0 {
		return 200, map[string]any{"ledgerRev": st.rev}
	}
	st.rev++
	for _, c := range t.Then {
		switch {
		case c.Set != "":
			st.keys[c.Set] = &storedKey{c.Value, st.rev, c.Tether}
			st.news = append(st.news, change{Set: c.Set, Value: c.Value, Stamp: st.rev})
			st.rec.logf("state: %s sets %s = %.160s", node, c.Set, c.Value)
		case st.keys[c.Remove] != nil:
			delete(st.keys, c.Remove)
			st.news = append(st.news, change{Remove: c.Remove, Stamp: st.rev})
			st.rec.logf("state: %s removes %s", node, c.Remove)
		}
	}
	st.changed.Broadcast()
	return 200, map[string]any{"ledgerRev": st.rev}
}

func (st *stateService) newGrant(w http.ResponseWriter, body []byte) {
	var req struct {
		LifeMs int64 `json:"lifeMs"`
	}
	if json.Unmarshal(body, &req) != nil || req.LifeMs < 100 || req.LifeMs > 600000 {
		answer(w, 400, map[string]string{"error": "malformed"})
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastID++
	life := time.Duration(req.LifeMs) * time.Millisecond
	st.grants[st.lastID] = &grant{life, time.Now().Add(life)}
	answer(w, 200, map[string]any{"tether": st.lastID})
}

func (st *stateService) changeGrant(w http.ResponseWriter, r *http.Request) {
	name, touch := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/grants/"), "/touch")
	id, _ := strconv.ParseUint(name, 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	g := st.grants[id]
	switch {
	case g == nil:
		answer(w, 404, map[string]any{})
	case touch:
		g.ends = time.Now().Add(g.life)
		answer(w, 200, map[string]any{"tether": id})
	default:
		st.endGrant(id)
		answer(w, 200, map[string]any{})
	}
}
