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

// keptSample is a message or stored value as a previous version wrote it. For a message,
// fields is its JSON and bytes its encoding in hex. For a value, name is the key and
// fields the JSON.
type keptSample struct{ kind, name, fields, bytes string }

// The files with kept samples: from the version in production, and from the first
// version with gangs. Clusters may be upgraded from both.
const (
	production = "testdata/production.txt"
	firstGangs = "testdata/first-gangs.txt"
)

// readSamples reads a file of kept samples.
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

// TestReadsPreviousVersionMessages checks that the messages of previous versions are
// decoded with the meaning that they had there. During a rolling upgrade, controllers
// otherwise misread each other.
func TestReadsPreviousVersionMessages(t *testing.T) {
	for file, minMessages := range map[string]int{production: 16, firstGangs: 15} {
		read := 0
		for _, sample := range readSamples(t, file) {
			if sample.kind != "message" {
				continue
			}
			read++
			encoded, err := hex.DecodeString(sample.bytes)
			if err != nil {
				t.Fatal(err)
			}
			var got PeerMsg
			if err := msgpack.Unmarshal(encoded, &got); err != nil {
				t.Errorf("%s: %s: got error %v, want a message that decodes", file, sample.name, err)
				continue
			}
			var want PeerMsg
			if err := json.Unmarshal([]byte(sample.fields), &want); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("%s: %s: got\n%+v, want\n%+v", file, sample.name, got, want)
			}
		}
		if read < minMessages {
			t.Errorf("%s: got %d messages, want at least %d", file, read, minMessages)
		}
	}
}

// TestPreviousVersionsReadMessages checks that a message of this version is encoded to
// the same fields, with the same types of values, as by a previous version, which must be
// able to read it. The only addition is the version number, which the version in
// production ignores.
func TestPreviousVersionsReadMessages(t *testing.T) {
	for _, file := range []string{production, firstGangs} {
		for _, sample := range readSamples(t, file) {
			if sample.kind != "message" {
				continue
			}
			var message PeerMsg
			if err := json.Unmarshal([]byte(sample.fields), &message); err != nil {
				t.Fatal(err)
			}
			if file == production {
				message.Version = NewestVersion
			}
			encoded, err := msgpack.Marshal(message)
			if err != nil {
				t.Fatal(err)
			}
			var got, want map[string]any
			previousEncoded, _ := hex.DecodeString(sample.bytes)
			if msgpack.Unmarshal(encoded, &got) != nil || msgpack.Unmarshal(previousEncoded, &want) != nil {
				t.Fatalf("%s: %s: got a message that does not decode as a map, want one that does", file, sample.name)
			}
			if file == production {
				delete(got, "fm")
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("%s: %s: got\n%v, want\n%v", file, sample.name, got, want)
			}
		}
	}
}

// TestReadsFirstGangsValues checks that a controller that starts with the values stored
// by the first version with gangs reads its gangs, the cluster version, bitmaps in parts
// and machines, and that it encodes the values in the same way again.
func TestReadsFirstGangsValues(t *testing.T) {
	s := newSingleController()
	revision := uint64(10)
	stored := map[string]string{}
	for _, sample := range readSamples(t, firstGangs) {
		if sample.kind == "value" {
			revision++
			stored[sample.name] = sample.fields
			s.apply(Item{Key: sample.name, Value: json.RawMessage(sample.fields), ModRevision: revision})
		}
	}
	if s.clusterVersion != versionGangs || s.term != 10 || s.leaderName != "n2" {
		t.Errorf("got cluster version %d, term %d, leader %s, want the version with gangs, term 10, leader n2", s.clusterVersion, s.term, s.leaderName)
	}
	if g := s.jobs["req-300001"]; g == nil || g.Kind != model.KindGang || g.Tasks != 6 || g.CheckpointEveryS != 5 || g.CheckpointCostS != 2 || s.active[g.ID] != g {
		t.Errorf("req-300001: got %+v, want an active gang of 6 tasks with a checkpoint every 5 s at a cost of 2 s", g)
	}
	if j := s.jobs["req-300007"]; j == nil || j.phase != model.PhaseAborted {
		t.Errorf("req-300007: got %+v, want a cancelled job", j)
	}
	for _, key := range []string{"mf/j/req-300001", "mf/forms", "mf/r/1", "mf/leader", "mf/term"} {
		var decoded any
		switch name, fields := key, stored[key]; {
		case strings.HasPrefix(name, prefixJobs):
			decoded = readAs[jobValue](t, fields)
		case strings.HasPrefix(name, prefixPages):
			decoded = readAs[map[string]machineRecord](t, fields)
		case name == keyClusterVersion:
			decoded = readAs[clusterVersionValue](t, fields)
		case name == keyLeader:
			decoded = readAs[leaderValue](t, fields)
		case name == keyTerm:
			decoded = readAs[termValue](t, fields)
		}
		if got := string(mustMarshal(decoded)); got != stored[key] {
			t.Errorf("%s: got re-encoded value\n%s, want\n%s", key, got, stored[key])
		}
	}
	// The bitmap of an active job is stored in three parts, and every third task is
	// done.
	s = newSingleController()
	s.apply(Item{Key: prefixJobs + "req-000010", Value: mustMarshal(jobValue{Spec: &model.Job{ID: "req-000010", Tasks: 7000}}), ModRevision: 5})
	for _, part := range []string{"0", "0.1", "0.2"} {
		revision++
		s.apply(Item{Key: prefixProgress + "req-000010/" + part, Value: json.RawMessage(stored[prefixProgress+"req-000010/"+part]), ModRevision: revision})
	}
	if j := s.jobs["req-000010"]; j.doneCount != 2334 || !j.isDone(6999) || j.isDone(6998) {
		t.Errorf("got %d finished tasks, want 2334, with task 6999 done and task 6998 not", j.doneCount)
	}
}

// readAs decodes a stored value as a V.
func readAs[V any](t *testing.T, value string) V {
	t.Helper()
	var v V
	if err := json.Unmarshal([]byte(value), &v); err != nil {
		t.Fatal(err)
	}
	return v
}

// TestReadsProductionValues checks that a controller that starts with the values stored
// by the version in production reads its jobs, progress, machines, machine types and
// term.
func TestReadsProductionValues(t *testing.T) {
	s := newSingleController()
	revision := uint64(10)
	for _, sample := range readSamples(t, production) {
		if sample.kind == "value" {
			revision++
			s.apply(Item{Key: sample.name, Value: json.RawMessage(sample.fields), ModRevision: revision})
		}
	}
	j := s.jobs["req-000105"]
	if j == nil || j.Class != "nightly" || j.Tasks != 1 || j.CPUs != 1 || j.EstimateS != 9.5 || j.phase != model.PhaseDone {
		t.Errorf("req-000105: got %+v, want a finished job of class nightly with 1 task, 1 CPU and an estimate of 9.5 s", j)
	}
	if j := s.jobs["req-000009"]; j == nil || j.phase != model.PhaseAborted {
		t.Errorf("req-000009: got %+v, want a cancelled job", j)
	}
	if s.term != 3 || s.leaderName != "n0" || s.leaderLeaseID != 3 || len(s.typeList) != 1 || s.types["small"].CacheGB != 20 {
		t.Errorf("got term %d, leader %s with lease %d, %d types, want term 3, leader n0 with lease 3, 1 type with 20 GB of cache", s.term, s.leaderName, s.leaderLeaseID, len(s.typeList))
	}
	for _, m := range s.machines {
		if !m.registered || m.endpoint != "w"+m.host || m.typeName != "small" || m.page != 1 {
			t.Errorf("machine %s: got %+v, want a registered machine of type small with endpoint w%[1]s on page 1", m.host, m)
		}
	}
	if len(s.machines) < 2 {
		t.Errorf("got %d registered machines, want at least 2", len(s.machines))
	}
	// The progress of an active job, and a machine's own key as versions before the
	// registry pages wrote it.
	s.apply(Item{Key: prefixJobs + "req-000010", Value: mustMarshal(jobValue{Spec: &model.Job{ID: "req-000010", Tasks: 13}}), ModRevision: 5})
	s = newSingleController()
	s.apply(Item{Key: prefixJobs + "req-000010", Value: mustMarshal(jobValue{Spec: &model.Job{ID: "req-000010", Tasks: 13}}), ModRevision: 5})
	s.apply(Item{Key: prefixProgress + "req-000010/0", Value: json.RawMessage(`{"b":"/wc="}`), ModRevision: 6})
	s.apply(Item{Key: prefixMachines + "n-7", Value: json.RawMessage(`{"endpoint":"e","type":"small","zone":"a","standing":true}`), ModRevision: 7})
	if j := s.jobs["req-000010"]; j.doneCount != 11 || !j.isDurable(10) || j.isDurable(11) {
		t.Errorf("got %d finished tasks, want 11, with task 10 durable and task 11 not", j.doneCount)
	}
	if m := s.machines["n-7"]; m == nil || !m.registered || !m.preexisting {
		t.Errorf("machine n-7: got %+v, want a registered pre-existing machine", m)
	}
}

// TestKnowsNewestVersion checks that a controller's stored version counts only after the
// controller has had time to send a message with another one. A message counts at once,
// and removes an outdated stored version, because later leaders don't have the message.
func TestKnowsNewestVersion(t *testing.T) {
	for _, c := range []struct {
		name          string
		stored        int           // stored version; 0: none
		reported      int           // version in a later message; -1: no message
		sinceReport   time.Duration // time since that message
		sinceElection time.Duration // time since this leader's election
		known, kept   bool          // the newest version is known; the stored version is kept
	}{
		{"a recent message with the newest version", 0, versionGangs, time.Second, time.Second, true, true},
		{"an old message with the newest version, and the controller is unreachable", 0, versionGangs, time.Minute, time.Minute, true, true},
		{"neither a message nor a stored version", 0, -1, 0, time.Minute, false, true},
		{"only the stored version, and a message may still come", versionGangs, -1, 0, time.Second, false, true},
		{"only the stored version, and the controller is unreachable", versionGangs, -1, 0, time.Minute, true, true},
		{"the controller was rolled back", versionGangs, versionFirst, time.Second, time.Minute, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSingleController()
			s.cfg.Version, s.cfg.Peers, s.peers = NewestVersion, []string{"n1"}, map[string]*peerState{"n1": {}}
			s.loaded, s.hasContact, s.caughtUp, s.leadership = true, true, true, newLeadership(s)
			s.now = 10 * time.Minute
			s.leadership.RecordPromise(s.now, "n0", s.now)
			s.electedAt = s.now - c.sinceElection
			if c.stored > 0 {
				s.apply(Item{Key: prefixVersions + "n1", Value: mustMarshal(controllerVersionValue{c.stored}), ModRevision: 5})
			}
			if c.reported >= 0 {
				s.handlePeerVersion("n1", c.reported)
				s.peers["n1"].heardAt = s.now - c.sinceReport
			}
			if got := s.knowsNewestVersion(s.peers["n1"]); got != c.known {
				t.Errorf("got newest version known %v, want %v", got, c.known)
			}
			removed := slices.ContainsFunc(s.queue, func(w *write) bool { return w.change.Remove && w.change.Key == prefixVersions+"n1" })
			if removed == c.kept {
				t.Errorf("got stored version removed %v, want %v", removed, !c.kept)
			}
		})
	}
}

// TestBitmapsInParts checks that, where values are small, the bitmap of a large job's
// finished tasks is stored in parts once every controller can read parts. Before that,
// only the first part is written, in the format of the previous version, and it never
// replaces a larger value.
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
			t.Errorf("version %d: got %d values, want %d", c.version, len(out), c.parts)
		}
		reader, rereadJob := leader(c.version)
		revision := uint64(6)
		for _, key := range slices.Sorted(maps.Keys(out)) {
			if len(out[key]) > 2048 {
				t.Errorf("version %d: %s: got %d bytes, want at most 2048", c.version, key, len(out[key]))
			}
			revision++
			reader.apply(Item{Key: key, Value: out[key], ModRevision: revision})
		}
		if want := tasks; c.version == versionGangs && rereadJob.doneCount != want || c.version == versionFirst && (rereadJob.doneCount < 10000 || rereadJob.doneCount == want) {
			t.Errorf("version %d: got %d of %d finished tasks read back, want all with parts, else at least 10000 but not all", c.version, rereadJob.doneCount, tasks)
		}
	}
	// A larger value of the previous version stays until it can be stored in parts.
	s, j := leader(versionFirst)
	big := make([]byte, tasks/8)
	for i := range big {
		big[i] = 0xff
	}
	s.apply(Item{Key: prefixProgress + "req-000001/0", Value: mustMarshal(map[string][]byte{"b": big}), ModRevision: 6})
	if j.doneCount != tasks/8*8 {
		t.Fatalf("got %d finished tasks from the large value, want 30000", j.doneCount)
	}
	if out := write(s, j); len(out) != 0 {
		t.Errorf("got %d values written over the larger one, want none", len(out))
	}
}

// TestOversizedPageIsSplit checks that a registry page that a previous version left
// larger than values may be now is split over other pages, and that those are written
// before it. Otherwise a machine could be on no stored page for a while.
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
	storedPages := map[string]int{} // by machine: its stored page
	for host := range hosts {
		storedPages[host] = 1
	}
	for now := time.Second; now < 30*time.Second && len(s.pageHosts) < 6; now += time.Second {
		s.now = now
		s.nextTxnAt = 0
		s.maintainRegistry()
		s.storeRate.SetBurst(1000)
		s.writeRate.SetBurst(1000)
		for s.sendNextTxn(); ; s.sendNextTxn() {
			call, ok := findStoreCall(s.effects, StoreTxn)
			s.effects = nil
			if !ok {
				break
			}
			if len(call.Changes) > 4 {
				t.Errorf("got %d changes in a transaction, want at most 4", len(call.Changes))
			}
			for _, change := range call.Changes {
				if len(change.Value) > 2048 {
					t.Errorf("%s: got %d bytes, want at most 2048", change.Key, len(change.Value))
				}
				var page map[string]machineRecord
				if json.Unmarshal(change.Value, &page) != nil {
					t.Fatalf("%s: got value %s, want a registry page", change.Key, change.Value)
				}
				if change.Key == prefixPages+"1" {
					for host := range hosts {
						if _, listed := page[host]; !listed && storedPages[host] == 1 {
							t.Errorf("machine %s: got no stored page while page 1 is written without it, want one", host)
						}
					}
				}
				for host := range page {
					storedPages[host] = int(change.Key[len(change.Key)-1] - '0')
				}
			}
			s.completeCall(call.CallID, StoreResult{CallID: call.CallID, Status: 200, Revision: 100 + s.lastCallID})
		}
	}
	machinesByPage := map[int]int{}
	for _, page := range storedPages {
		machinesByPage[page]++
	}
	if len(machinesByPage) < 4 || machinesByPage[1] == 40 {
		t.Errorf("got machines by page %v, want at least 4 pages and not all machines on page 1", machinesByPage)
	}
	for host := range hosts {
		if m := s.machines[host]; m == nil || !m.registered || m.page != storedPages[host] || m.storedPage != storedPages[host] {
			t.Errorf("machine %s: want a registered machine with planned and stored page %d, got %+v", host, storedPages[host], m)
		}
	}
}
