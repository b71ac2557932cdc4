package api

import (
	"encoding/json"
	"strings"
	"testing"

	"mulleinfall/internal/core"
)

// foreignNames are further fields of a submission whose names only resemble known ones, by
// capitals or by letters beyond ASCII that fold to ASCII ones. Each would change the job.
var foreignNames = []string{
	`"ID":"req-900412"`, `"Id":"req-900412"`, `"Pieces":1`, `"PIECES":0`, `"Site":"b"`, `"SITE":7`, `"Flavors":["x"]`,
	`"SamePlace":false`, `"sameplace":false`, `"Scatter":true`, `"Loaners":false`, `"DueS":-1`, `"dues":1`, `"Cpus":99`,
	`"memoryGB":1`, `"Owner":"other"`, `"Shape":"service"`, `"Rank":"prod"`,
	`"ſite":"b"`, `"\u017fite":"b"`, `"pieceſ":1`, `"ſhape":"service"`, `"ranK":"prod"`, `"\u212aind":"x"`, `"ran\u212a":"prod"`,
	`"id ":"req-900412"`, `"id\u0000":"req-900412"`,
}

// TestSubmissionIgnoresForeignNames guards against fields with similar names that replace
// known ones: jobs ran in the wrong zone, with fewer tasks or under another id.
func TestSubmissionIgnoresForeignNames(t *testing.T) {
	want := parsedJob(t, validJob)
	for _, field := range foreignNames {
		for _, body := range []string{
			strings.Replace(validJob, "{", "{"+field+",", 1),
			strings.TrimSuffix(validJob, "}") + "," + field + "}",
		} {
			if got := parsedJob(t, body); got != want {
				t.Errorf("with the field %s: got job %s\nwant %s", field, got, want)
			}
		}
	}
	for _, field := range []string{"id", "pieces", "shape"} {
		body := strings.Replace(validJob, `"`+field+`"`, `"`+strings.ToUpper(field)+`"`, 1)
		if _, err := ParseJob([]byte(body)); err == nil || err.Error() != field+": missing" {
			t.Errorf("with %q in capitals: got error %v, want %s: missing", field, err, field)
		}
	}
}

// TestSubmissionWithRepeatedNames guards against a mix of several occurrences of one name:
// the last one counts, as if the others were not there.
func TestSubmissionWithRepeatedNames(t *testing.T) {
	for _, c := range []struct{ first, last string }{
		{`"id":"req-900412"`, `"id":"req-000412"`}, {`"pieces":1`, `"pieces":16`}, {`"pieces":null`, `"pieces":16`},
		{`"flavors":["g4","g2"]`, `"flavors":["g8"]`}, {`"site":"b"`, `"site":null`}, {`"dueS":1`, `"dueS":900.0`},
		{`"new":{"a":1,"a":2}`, `"new":[{"a":1,"a":2}]`}, {`"p\u0069eces":1`, `"pieces":16`},
	} {
		body := strings.Replace(validJob, "{", "{"+c.first+",", 1)
		body = strings.TrimSuffix(body, "}") + "," + c.last + "}"
		if got, want := parsedJob(t, body), parsedJob(t, validJob); got != want {
			t.Errorf("%s at the start and %s at the end: got job %s\nwant %s", c.first, c.last, got, want)
		}
	}
	for _, c := range []struct{ last, want string }{
		{`"pieces":null`, "pieces: missing"}, {`"id":null`, "id: missing"}, {`"cpus":-1`, "cpus: not valid"}, {`"flavors":[]`, "flavors: empty"},
	} {
		if _, err := ParseJob([]byte(strings.TrimSuffix(validJob, "}") + "," + c.last + "}")); err == nil || err.Error() != c.want {
			t.Errorf("%s as the last occurrence: got error %v, want %s", c.last, err, c.want)
		}
	}
}

// TestReportIgnoresForeignNames is TestSubmissionIgnoresForeignNames for workers' reports,
// whose nested task entries must keep their names apart as well.
func TestReportIgnoresForeignNames(t *testing.T) {
	const task = `{"piece":"req-000412/3","try":2,"phase":"running"}`
	const report = `{"host":"n-1","endpoint":"10.1.0.2:9000","flavor":"g8","site":"a","loaners":true,"tenure":1,"tick":88,"epoch":41,"recallS":null,"pieces":[` + task + `]}`
	want := receivedReport(t, report)
	var bodies []string
	for _, field := range []string{`"Host":"n-2"`, `"HoSt":""`, `"hoſt":"n-2"`, `"Tenure":9`, `"TICK":1`, `"Epoch":99`, `"recalls":1`, `"RecallS":1`, `"Pieces":[]`, `"pieceſ":[]`, `"Loaners":false`} {
		bodies = append(bodies, strings.TrimSuffix(report, "}")+","+field+"}")
	}
	for _, field := range []string{`"Piece":"req-000412/4"`, `"Try":3`, `"Phase":"exited"`, `"phaſe":"exited"`, `"Cause":"done"`, `"cauſe":"done"`, `"Saved":true`} {
		bodies = append(bodies, strings.Replace(report, task, strings.TrimSuffix(task, "}")+","+field+"}", 1))
	}
	bodies = append(bodies, strings.Replace(report, `"pieces"`, `"pieces":[{"cause":"done","saved":true}],"pieces"`, 1))
	for _, body := range bodies {
		if got := receivedReport(t, body); got != want {
			t.Errorf("report %s: got %s\nwant %s", body, got, want)
		}
	}
}

// parsedJob parses a valid submission and returns its job as text.
func parsedJob(t *testing.T, body string) string {
	t.Helper()
	job, err := ParseJob([]byte(body))
	if err != nil {
		return "error " + err.Error()
	}
	encoded, err := json.Marshal(job)
	if err != nil {
		t.Fatal(err)
	}
	return string(encoded)
}

// receivedReport sends a report and returns what reaches the core, as text.
func receivedReport(t *testing.T, body string) string {
	t.Helper()
	backend := &fakeBackend{reply: core.Reply{Status: 200, Body: core.ReportReply{}}, ok: true}
	serveRequest(backend, "POST", "/agent/beat", body)
	if backend.lastEvent == nil {
		return "refused"
	}
	encoded, err := json.Marshal(backend.lastEvent.(core.WorkerReport).Report)
	if err != nil {
		t.Fatal(err)
	}
	return string(encoded)
}
