package core

import (
	"encoding/hex"
	"encoding/json"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mulleinfall/internal/model"
)

// keptSample is a message or stored value as a former version made it: for messages
// the fields and the bytes, for values the key and the JSON.
type keptSample struct{ kind, name, fields, bytes string }

// The kept samples: of the version in production, and of the first that runs
// gangs, from which clusters may be rolled over as well.
const (
	production = "testdata/production.txt"
	firstGangs = "testdata/first-gangs.txt"
)

func readSamples(t *testing.T, file string) []keptSample {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var list []keptSample
	for _, line := range strings.Split(string(text), "\n") {
		switch {
		case strings.HasPrefix(line, "message "), strings.HasPrefix(line, "value "):
			kind, name, _ := strings.Cut(line, " ")
			list = append(list, keptSample{kind: kind, name: name})
		case strings.HasPrefix(line, "  ") && list[len(list)-1].fields == "":
			list[len(list)-1].fields = strings.TrimSpace(line)
		case strings.HasPrefix(line, "  "):
			list[len(list)-1].bytes = strings.TrimSpace(line)
		}
	}
	return list
}

// TestReadsPreviousVersionMessages: what a former version says to another controller is
// understood as it was meant.
func TestReadsPreviousVersionMessages(t *testing.T) {
	for file, kinds := range map[string]int{production: 16, firstGangs: 15} {
		read := 0
		for _, x := range readSamples(t, file) {
			if x.kind != "message" {
				continue
			}
			read++
			b, err := hex.DecodeString(x.bytes)
			if err != nil {
				t.Fatal(err)
			}
			var m PeerMsg
			if err := msgpack.Unmarshal(b, &m); err != nil {
				t.Errorf("%s: %s: %v", file, x.name, err)
				continue
			}
			var want PeerMsg
			if err := json.Unmarshal([]byte(x.fields), &want); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(m, want) {
				t.Errorf("%s: %s: read as\n%+v, was\n%+v", file, x.name, m, want)
			}
		}
		if read < kinds {
			t.Errorf("%s: %d kinds of messages, want all %d", file, read, kinds)
		}
	}
}

// TestPreviousVersionsReadMessages: a message of the present version has, under the same
// names and as the same kinds of values, what a former one put into it, and
// nothing else but the number of the version, which the one in production ignores.
func TestPreviousVersionsReadMessages(t *testing.T) {
	for _, file := range []string{production, firstGangs} {
		for _, x := range readSamples(t, file) {
			if x.kind != "message" {
				continue
			}
			var m PeerMsg
			if err := json.Unmarshal([]byte(x.fields), &m); err != nil {
				t.Fatal(err)
			}
			if file == production {
				m.Version = NewestVersion
			}
			b, err := msgpack.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			var now, then map[string]any
			old, _ := hex.DecodeString(x.bytes)
			if msgpack.Unmarshal(b, &now) != nil || msgpack.Unmarshal(old, &then) != nil {
				t.Fatalf("%s: %s: not a map", file, x.name)
			}
			if file == production {
				delete(now, "fm")
			}
			if !reflect.DeepEqual(now, then) {
				t.Errorf("%s: %s: now\n%v, then\n%v", file, x.name, now, then)
			}
		}
	}
}

// TestReadsFirstGangsValues: a controller that starts on what the first version
// with gangs has stored knows its gangs, the cluster version, progress in parts
// and machines, and writes the same again.
func TestReadsFirstGangsValues(t *testing.T) {
	s := newSingleController()
	stamp := uint64(10)
	stored := map[string]string{}
	for _, x := range readSamples(t, firstGangs) {
		if x.kind == "value" {
			stamp++
			stored[x.name] = x.fields
			s.apply(Item{Key: x.name, Value: json.RawMessage(x.fields), ModRevision: stamp})
		}
	}
	if s.clusterVersion != versionGangs || s.term != 10 || s.leaderNode != "n2" {
		t.Errorf("cluster version %d, term %d, leader %s", s.clusterVersion, s.term, s.leaderNode)
	}
	if g := s.jobs["req-300001"]; g == nil || g.Kind != model.KindGang || g.Tasks != 6 || g.CheckpointEveryS != 5 || g.CheckpointCostS != 2 || s.active[g.ID] != g {
		t.Errorf("a gang is read as %+v", g)
	}
	if j := s.jobs["req-300007"]; j == nil || j.phase != model.PhaseAborted {
		t.Errorf("a withdrawn job is read as %+v", j)
	}
	for _, key := range []string{"mf/j/req-300001", "mf/forms", "mf/r/1", "mf/leader", "mf/term"} {
		var again any
		switch dir, fields := key, stored[key]; {
		case strings.HasPrefix(dir, prefixJobs):
			again = readAs[jobValue](t, fields)
		case strings.HasPrefix(dir, prefixPages):
			again = readAs[map[string]machineRecord](t, fields)
		case dir == keyClusterVersion:
			again = readAs[clusterVersionValue](t, fields)
		case dir == keyLeader:
			again = readAs[leaderValue](t, fields)
		case dir == keyTerm:
			again = readAs[termValue](t, fields)
		}
		if got := string(mustMarshal(again)); got != stored[key] {
			t.Errorf("%s: written again as\n%s, was\n%s", key, got, stored[key])
		}
	}
	// Of a job that goes on: each third of its tasks is done, in three parts.
	s = newSingleController()
	s.apply(Item{Key: prefixJobs + "req-000010", Value: mustMarshal(jobValue{Spec: &model.Job{ID: "req-000010", Tasks: 7000}}), ModRevision: 5})
	for _, part := range []string{"0", "0.1", "0.2"} {
		stamp++
		s.apply(Item{Key: prefixProgress + "req-000010/" + part, Value: json.RawMessage(stored[prefixProgress+"req-000010/"+part]), ModRevision: stamp})
	}
	if j := s.jobs["req-000010"]; j.doneCount != 2334 || !j.isDone(6999) || j.isDone(6998) {
		t.Errorf("%d of 2334 finished tasks read", j.doneCount)
	}
}

// readAs decodes a stored value.
func readAs[V any](t *testing.T, value string) V {
	t.Helper()
	var v V
	if err := json.Unmarshal([]byte(value), &v); err != nil {
		t.Fatal(err)
	}
	return v
}

// TestReadsProductionValues: a controller that starts on what the version in
// production has stored knows its jobs, progress, machines, types and term.
func TestReadsProductionValues(t *testing.T) {
	s := newSingleController()
	stamp := uint64(10)
	for _, x := range readSamples(t, production) {
		if x.kind == "value" {
			stamp++
			s.apply(Item{Key: x.name, Value: json.RawMessage(x.fields), ModRevision: stamp})
		}
	}
	j := s.jobs["req-000105"]
	if j == nil || j.Class != "nightly" || j.Tasks != 1 || j.CPUs != 1 || j.EstimateS != 9.5 || j.phase != model.PhaseDone {
		t.Errorf("req-000105 is %+v", j)
	}
	if j := s.jobs["req-000009"]; j == nil || j.phase != model.PhaseAborted {
		t.Errorf("req-000009 is %+v, was cancelled", j)
	}
	if s.term != 3 || s.leaderNode != "n0" || s.leaderLease != 3 || len(s.typeList) != 1 || s.types["small"].CacheGB != 20 {
		t.Errorf("term %d, leader %s by lease %d, %d types", s.term, s.leaderNode, s.leaderLease, len(s.typeList))
	}
	for _, m := range s.machines {
		if !m.registered || m.endpoint != "w"+m.host || m.typeName != "small" || m.page != 1 {
			t.Errorf("machine %s: %+v", m.host, m)
		}
	}
	if len(s.machines) < 2 {
		t.Errorf("%d machines on the roster", len(s.machines))
	}
	// Progress, for a job that goes on, and a machine's own key as versions
	// before the pages wrote it.
	s.apply(Item{Key: prefixJobs + "req-000010", Value: mustMarshal(jobValue{Spec: &model.Job{ID: "req-000010", Tasks: 13}}), ModRevision: 5})
	s = newSingleController()
	s.apply(Item{Key: prefixJobs + "req-000010", Value: mustMarshal(jobValue{Spec: &model.Job{ID: "req-000010", Tasks: 13}}), ModRevision: 5})
	s.apply(Item{Key: prefixProgress + "req-000010/0", Value: json.RawMessage(`{"b":"/wc="}`), ModRevision: 6})
	s.apply(Item{Key: prefixMachines + "n-7", Value: json.RawMessage(`{"endpoint":"e","type":"small","zone":"a","standing":true}`), ModRevision: 7})
	if j := s.jobs["req-000010"]; j.doneCount != 11 || !j.isDurable(10) || j.isDurable(11) {
		t.Errorf("%d of 11 finished tasks read", j.doneCount)
	}
	if m := s.machines["n-7"]; m == nil || !m.registered || !m.preexisting {
		t.Errorf("a machine's own key: %+v", m)
	}
}

// TestKnowsNewestVersion: a controller's note counts once it has had the time to say
// otherwise. What it says counts at once, and takes an outdated note away for
// the leaders to come, which have not heard it.
func TestKnowsNewestVersion(t *testing.T) {
	for _, c := range []struct {
		name        string
		note        int           // the version that it has noted
		says        int           // the version that it says afterwards; -1: nothing
		ago         time.Duration // since then
		elected     time.Duration // how long ago this leader was
		known, kept bool
	}{
		{"it says so", 0, versionGangs, time.Second, time.Second, true, true},
		{"it has said so and is out of reach", 0, versionGangs, time.Minute, time.Minute, true, true},
		{"nothing is known of it", 0, -1, 0, time.Minute, false, true},
		{"only its note, and it may yet be heard", versionGangs, -1, 0, time.Second, false, true},
		{"only its note, and it is out of reach", versionGangs, -1, 0, time.Minute, true, true},
		{"it was changed back", versionGangs, versionFirst, time.Second, time.Minute, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSingleController()
			s.cfg.Version, s.cfg.Peers, s.peers = NewestVersion, []string{"n1"}, map[string]*peerState{"n1": {}}
			s.loaded, s.hasContact, s.caughtUp, s.leadership = true, true, true, newLeadership(s)
			s.now = 10 * time.Minute
			s.leadership.RecordPromise(s.now, "n0", s.now)
			s.electedAt = s.now - c.elected
			if c.note > 0 {
				s.apply(Item{Key: prefixVersions + "n1", Value: mustMarshal(controllerVersionValue{c.note}), ModRevision: 5})
			}
			if c.says >= 0 {
				s.handlePeerVersion("n1", c.says)
				s.peers["n1"].heardAt = s.now - c.ago
			}
			if got := s.knowsNewestVersion(s.peers["n1"]); got != c.known {
				t.Errorf("counts as knowing the newest version: %v, want %v", got, c.known)
			}
			removed := slices.ContainsFunc(s.queue, func(w *write) bool { return w.change.Remove && w.change.Key == prefixVersions+"n1" })
			if removed == c.kept {
				t.Errorf("the note is taken away: %v, want %v", removed, !c.kept)
			}
		})
	}
}

// TestBitmapsInParts: where values are small, a large job's finished tasks are
// kept in parts once all versions read them; before, the first part alone is
// written, which is the former form, and never over a larger one.
func TestBitmapsInParts(t *testing.T) {
	const tasks = 30000
	leader := func(version int) (*State, *job) {
		s := newSingleController()
		s.cfg.MaxValueBytes, s.clusterVersion = 2048, version
		s.loaded, s.hasContact, s.caughtUp = true, true, true
		s.leadership = newLeadership(s)
		s.apply(Item{Key: prefixJobs + "req-000001", Value: mustMarshal(jobValue{Spec: &model.Job{ID: "req-000001", Tasks: tasks, Kind: model.KindBatch}}), ModRevision: 5})
		return s, s.jobs["req-000001"]
	}
	write := func(s *State, j *job) map[string][]byte {
		s.writeChunk(j, 0, j.chunk(0))
		out := map[string][]byte{}
		for _, w := range s.queue {
			out[w.change.Key] = w.change.Value
		}
		return out
	}
	for _, c := range []struct{ version, parts int }{{versionFirst, 1}, {versionGangs, 3}} {
		s, j := leader(c.version)
		for i := range tasks {
			j.setDone(i)
		}
		out := write(s, j)
		if len(out) != c.parts {
			t.Errorf("version %d: %d values, want %d", c.version, len(out), c.parts)
		}
		again, k := leader(c.version)
		stamp := uint64(6)
		for _, key := range slices.Sorted(maps.Keys(out)) {
			if len(out[key]) > 2048 {
				t.Errorf("version %d: %s has %d bytes", c.version, key, len(out[key]))
			}
			stamp++
			again.apply(Item{Key: key, Value: out[key], ModRevision: stamp})
		}
		if want := tasks; c.version == versionGangs && k.doneCount != want || c.version == versionFirst && (k.doneCount < 10000 || k.doneCount == want) {
			t.Errorf("version %d: %d of %d finished tasks read back", c.version, k.doneCount, tasks)
		}
	}
	// A larger value of the former version stands until it can be kept in parts.
	s, j := leader(versionFirst)
	big := make([]byte, tasks/8)
	for i := range big {
		big[i] = 0xff
	}
	s.apply(Item{Key: prefixProgress + "req-000001/0", Value: mustMarshal(map[string][]byte{"b": big}), ModRevision: 6})
	if j.doneCount != tasks/8*8 {
		t.Fatalf("%d finished tasks read from the large value", j.doneCount)
	}
	if out := write(s, j); len(out) != 0 {
		t.Errorf("%d values written over the larger one", len(out))
	}
}

// TestOversizedPageIsSplit: a page of the roster that a former version left larger
// than values may be now is spread over others, which are written before it.
func TestOversizedPageIsSplit(t *testing.T) {
	s := newSingleController()
	s.cfg.MaxValueBytes, s.cfg.MaxTxnOps = 2048, 4
	s.loaded, s.hasContact = true, true
	hosts := map[string]machineRecord{}
	for i := range 40 {
		hosts[model.TaskName("n", 100+i)] = machineRecord{Endpoint: "10.1.0.7:9000", Type: "biniou-quatre", Zone: "quimper-a", Preexisting: true}
	}
	s.apply(Item{Key: prefixPages + "1", Value: mustMarshal(hosts), ModRevision: 5})
	s.leadership, s.caughtUp = newLeadership(s), true
	s.takeOver()
	s.page(1).dirty = true
	at := map[string]int{} // machine: page, as stored
	for host := range hosts {
		at[host] = 1
	}
	for now := time.Second; now < 30*time.Second && len(s.pageHosts) < 6; now += time.Second {
		s.now = now
		s.nextTxnAt = 0
		s.maintainRegistry()
		s.storeRate.SetBurst(1000)
		s.writeRate.SetBurst(1000)
		for s.sendNextTxn(); ; s.sendNextTxn() {
			c, ok := findStoreCall(s.effects, StoreTxn)
			s.effects = nil
			if !ok {
				break
			}
			if len(c.Changes) > 4 {
				t.Errorf("%d changes in a transaction", len(c.Changes))
			}
			for _, ch := range c.Changes {
				if len(ch.Value) > 2048 {
					t.Errorf("%s has %d bytes", ch.Key, len(ch.Value))
				}
				var v map[string]machineRecord
				if json.Unmarshal(ch.Value, &v) != nil {
					t.Fatalf("%s: %s", ch.Key, ch.Value)
				}
				if ch.Key == prefixPages+"1" {
					for host := range hosts {
						if _, on := v[host]; !on && at[host] == 1 {
							t.Errorf("%s is on no page", host)
						}
					}
				}
				for host := range v {
					at[host] = int(ch.Key[len(ch.Key)-1] - '0')
				}
			}
			s.completeCall(c.CallID, StoreResult{CallID: c.CallID, Status: 200, Revision: 100 + s.lastCallID})
		}
	}
	pages := map[int]int{}
	for _, n := range at {
		pages[n]++
	}
	if len(pages) < 4 || pages[1] == 40 {
		t.Errorf("machines by page: %v", pages)
	}
	for host := range hosts {
		if m := s.machines[host]; m == nil || !m.registered || m.page != at[host] || m.storedPage != at[host] {
			t.Errorf("%s: wanted and stored on page %d, kept as %+v", host, at[host], m)
		}
	}
}
