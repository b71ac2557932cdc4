package web

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedConn is a connection whose other side has said all it will say.
type scriptedConn struct {
	net.Conn
	input  io.Reader
	output bytes.Buffer
}

func (s *scriptedConn) Read(p []byte) (int, error)    { return s.input.Read(p) }
func (s *scriptedConn) Write(p []byte) (int, error)   { return s.output.Write(p) }
func (s *scriptedConn) Close() error                  { return nil }
func (s *scriptedConn) SetDeadline(_ time.Time) error { return nil }

// echoHandler answers with the method, the path and the body; /leave leaves the body
// unread, /last ends the connection, /fail panics.
var echoHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	var body []byte
	switch r.URL.Path {
	case "/leave":
	case "/last":
		w.Header().Set("Connection", "close")
	case "/fail":
		panic("on purpose")
	default:
		body, _ = io.ReadAll(r.Body)
	}
	w.Header().Set("X-Path", r.URL.Path)
	w.WriteHeader(http.StatusAccepted)
	w.Write([]byte(r.Method + " " + r.URL.Path + " " + string(body)))
})

// responsesTo gives the answers to what one client says on one connection, each as
// its status and body.
func responsesTo(t *testing.T, said string) []string {
	t.Helper()
	c := &scriptedConn{input: strings.NewReader(said)}
	(&Server{Handler: echoHandler, Timeout: time.Second}).serveConn(c)
	var got []string
	br := bufio.NewReader(&c.output)
	for {
		method := http.MethodGet
		if strings.HasPrefix(said, "HEAD") {
			method = http.MethodHead
		}
		r, err := http.ReadResponse(br, &http.Request{Method: method})
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return got
		}
		if err != nil {
			t.Fatalf("%q: answer not readable: %v", said, err)
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Fatalf("%q: body not as long as announced: %v", said, err)
		}
		got = append(got, strings.TrimSpace(r.Status[:3]+" "+string(body)))
	}
}

// TestRequestsOnOneConnection: what a client may say on a connection, and where it ends.
func TestRequestsOnOneConnection(t *testing.T) {
	const host = " HTTP/1.1\r\nHost: x\r\n"
	post := func(path, body string) string {
		return "POST " + path + host + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	get := "GET /a" + host + "\r\n"
	cases := []struct {
		name, said string
		want       string
	}{
		{"one after the other", get + post("/b", "hello") + get, "202 GET /a|202 POST /b hello|202 GET /a"},
		{"in pieces", "POST /b" + host + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get, "202 POST /b abc|202 GET /a"},
		{"a body that its handler left", post("/leave", "unread") + get, "202 POST /leave|202 GET /a"},
		{"too much left", post("/leave", strings.Repeat("x", 2*maxUnreadBytes)) + get, "202 POST /leave"},
		{"the handler ends it", post("/last", "") + get, "202 POST /last"},
		{"the client ends it", "GET /a" + host + "Connection: close\r\n\r\n" + get, "202 GET /a"},
		{"an old client", "GET /a HTTP/1.0\r\n\r\n" + get, "202 GET /a"},
		{"head only", "HEAD /a" + host + "\r\n", "202"},
		{"a handler that fails", post("/fail", "") + get, ""},
		{"no host", "GET /a HTTP/1.1\r\n\r\n" + get, "400"},
		{"no request", "what?\r\n\r\n", "400"},
		{"nothing", "", ""},
		{"cut off", "GET /a HTT", "400"},
		{"a head without end", "GET /a" + host + "X: " + strings.Repeat("x", 2*maxHeaderBytes), "431"},
		{"an expectation", "POST /b" + host + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nok", "100|202 POST /b ok"},
		{"another expectation", "POST /b" + host + "Expect: tea\r\nContent-Length: 2\r\n\r\nok", "417"},
	}
	for _, c := range cases {
		if got := strings.Join(responsesTo(t, c.said), "|"); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// TestRequestsAreAdmittedOneAtATime: a request that has arrived waits until the one before has
// been handed on, and no longer; a client that is slow holds nobody up, nor does
// a handler that fails.
func TestRequestsAreAdmittedOneAtATime(t *testing.T) {
	began, hand, finish := make(chan string, 4), make(chan bool), make(chan bool)
	s := &Server{Timeout: time.Hour, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began <- r.URL.Path
		if r.URL.Path == "/fail" {
			panic("on purpose")
		}
		<-hand
		AdmitNext(wrappedWriter{w})
		<-finish
	})}
	connect := func(say string) net.Conn {
		here, there := net.Pipe()
		t.Cleanup(func() { here.Close() })
		go s.serveConn(there)
		if _, err := here.Write([]byte(say)); err != nil {
			t.Fatal(err)
		}
		return here
	}
	connect("GET /slow HTTP/1.1\r\nHo") // never says the rest
	connect("GET /fail HTTP/1.1\r\nHost: x\r\n\r\n")
	if got := <-began; got != "/fail" {
		t.Fatalf("%s began, want /fail", got)
	}
	one := connect("GET /one HTTP/1.1\r\nHost: x\r\n\r\n")
	if got := <-began; got != "/one" {
		t.Fatalf("%s began, want /one", got)
	}
	two := connect("GET /two HTTP/1.1\r\nHost: x\r\n\r\n")
	if s.admission.TryLock() {
		t.Error("the gate is open though nothing has been handed on")
	}
	if len(began) != 0 {
		t.Errorf("%s began before the one ahead had been handed on", <-began)
	}
	hand <- true
	if got := <-began; got != "/two" {
		t.Fatalf("%s began, want /two", got)
	}
	hand <- true
	finish <- true
	finish <- true
	for _, c := range []net.Conn{one, two} {
		if r, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || r.StatusCode != 200 {
			t.Errorf("answered %v, %v", r, err)
		}
	}
}

// TestBrokenConnectionReleasesAdmission: a connection that breaks while it holds the gate gives
// it back.
func TestBrokenConnectionReleasesAdmission(t *testing.T) {
	s := &Server{Timeout: time.Hour, Handler: echoHandler}
	for _, said := range []string{
		"POST /b HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok",
		"GET /a HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /fail HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		s.serveConn(&brokenConn{scriptedConn{input: strings.NewReader(said)}})
		if !s.admission.TryLock() {
			t.Fatalf("the gate is held for ever after %q", said)
		}
		s.admission.Unlock()
	}
}

// brokenConn is a connection that takes nothing.
type brokenConn struct{ scriptedConn }

func (*brokenConn) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// TestLateRequestGetsTimeForItsResponse: a request that comes at the end of the time that its
// connection may wait still has time for its answer; one that never comes has not.
func TestLateRequestGetsTimeForItsResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{Timeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(4 * time.Second)
		})}
		client, server := net.Pipe()
		go s.serveConn(server)
		time.Sleep(9 * time.Second)
		if _, err := io.WriteString(client, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if r, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil || r.StatusCode != 200 {
			t.Fatalf("answered %v, %v", r, err)
		}
		began := time.Now()
		if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || time.Since(began) != 10*time.Second {
			t.Errorf("idle, the connection ends with %v after %v", err, time.Since(began))
		}
	})
}

// wrappedWriter is a writer as handlers put one round another.
type wrappedWriter struct{ http.ResponseWriter }

func (w wrappedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// TestRequestAllocations: what a request costs beside its handler stays bounded. With
// hundreds a second on a small machine every allocation is time.
func TestRequestAllocations(t *testing.T) {
	const n = 200
	one := "POST /agent/beat HTTP/1.1\r\nHost: 10.0.0.1:8080\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
	s := &Server{Timeout: time.Hour, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	all := testing.AllocsPerRun(5, func() {
		c := &scriptedConn{input: strings.NewReader(strings.Repeat(one, n))}
		s.serveConn(c)
		if got := strings.Count(c.output.String(), "200 OK"); got != n {
			t.Fatalf("%d answers, want %d", got, n)
		}
	})
	if each := all / n; each > 16 {
		t.Errorf("%.1f allocations a request, at most 16 are allowed", each)
	}
}
