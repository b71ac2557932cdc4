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

// scriptedConn is a connection whose input is given in advance. It records its output.
type scriptedConn struct {
	net.Conn
	input  io.Reader
	output bytes.Buffer
}

func (s *scriptedConn) Read(p []byte) (int, error)    { return s.input.Read(p) }
func (s *scriptedConn) Write(p []byte) (int, error)   { return s.output.Write(p) }
func (s *scriptedConn) Close() error                  { return nil }
func (s *scriptedConn) SetDeadline(_ time.Time) error { return nil }

// echoHandler responds with the method, the path and the body of the request. For /leave
// it leaves the body unread, for /last it closes the connection, for /fail it panics.
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

// responsesTo sends requests on one connection and returns the responses, each as its
// status and body.
func responsesTo(t *testing.T, requests string) []string {
	t.Helper()
	conn := &scriptedConn{input: strings.NewReader(requests)}
	(&Server{Handler: echoHandler, Timeout: time.Second}).serveConn(conn)
	var got []string
	reader := bufio.NewReader(&conn.output)
	for {
		method := http.MethodGet
		if strings.HasPrefix(requests, "HEAD") {
			method = http.MethodHead
		}
		resp, err := http.ReadResponse(reader, &http.Request{Method: method})
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return got
		}
		if err != nil {
			t.Fatalf("%q: response not readable: %v", requests, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatalf("%q: body shorter than its Content-Length: %v", requests, err)
		}
		got = append(got, strings.TrimSpace(resp.Status[:3]+" "+string(body)))
	}
}

// TestRequestsOnOneConnection checks the responses to valid and invalid sequences of
// requests, and after which of them the connection is closed.
func TestRequestsOnOneConnection(t *testing.T) {
	const host = " HTTP/1.1\r\nHost: x\r\n"
	post := func(path, body string) string {
		return "POST " + path + host + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	get := "GET /a" + host + "\r\n"
	cases := []struct {
		name, requests string
		want           string
	}{
		{"consecutive requests", get + post("/b", "hello") + get, "202 GET /a|202 POST /b hello|202 GET /a"},
		{"chunked body", "POST /b" + host + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get, "202 POST /b abc|202 GET /a"},
		{"short unread body", post("/leave", "unread") + get, "202 POST /leave|202 GET /a"},
		{"long unread body", post("/leave", strings.Repeat("x", 2*maxUnreadBytes)) + get, "202 POST /leave"},
		{"closed by the handler", post("/last", "") + get, "202 POST /last"},
		{"closed by the client", "GET /a" + host + "Connection: close\r\n\r\n" + get, "202 GET /a"},
		{"HTTP/1.0 client", "GET /a HTTP/1.0\r\n\r\n" + get, "202 GET /a"},
		{"HEAD request", "HEAD /a" + host + "\r\n", "202"},
		{"panicking handler", post("/fail", "") + get, ""},
		{"no Host header", "GET /a HTTP/1.1\r\n\r\n" + get, "400"},
		{"not an HTTP request", "what?\r\n\r\n", "400"},
		{"no input", "", ""},
		{"truncated request", "GET /a HTT", "400"},
		{"head too long", "GET /a" + host + "X: " + strings.Repeat("x", 2*maxHeaderBytes), "431"},
		{"Expect: 100-continue", "POST /b" + host + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nok", "100|202 POST /b ok"},
		{"unknown expectation", "POST /b" + host + "Expect: tea\r\nContent-Length: 2\r\n\r\nok", "417"},
	}
	for _, c := range cases {
		if got := strings.Join(responsesTo(t, c.requests), "|"); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// TestRequestsAreAdmittedOneAtATime checks that a request waits until the handler of the
// previous request has called AdmitNext, but doesn't wait for the response to the previous
// request. Neither a slow client nor a panicking handler delays other requests.
func TestRequestsAreAdmittedOneAtATime(t *testing.T) {
	started, admit, finish := make(chan string, 4), make(chan bool), make(chan bool)
	server := &Server{Timeout: time.Hour, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		if r.URL.Path == "/fail" {
			panic("on purpose")
		}
		<-admit
		AdmitNext(wrappedWriter{w})
		<-finish
	})}
	connect := func(request string) net.Conn {
		clientSide, serverSide := net.Pipe()
		t.Cleanup(func() { clientSide.Close() })
		go server.serveConn(serverSide)
		if _, err := clientSide.Write([]byte(request)); err != nil {
			t.Fatal(err)
		}
		return clientSide
	}
	connect("GET /slow HTTP/1.1\r\nHo") // the rest of the request never comes
	connect("GET /fail HTTP/1.1\r\nHost: x\r\n\r\n")
	if got := <-started; got != "/fail" {
		t.Fatalf("first request started: got %s, want /fail", got)
	}
	connOne := connect("GET /one HTTP/1.1\r\nHost: x\r\n\r\n")
	if got := <-started; got != "/one" {
		t.Fatalf("second request started: got %s, want /one", got)
	}
	connTwo := connect("GET /two HTTP/1.1\r\nHost: x\r\n\r\n")
	if server.admission.TryLock() {
		t.Error("admission while a request holds it: got free, want locked")
	}
	if len(started) != 0 {
		t.Errorf("requests started before /one called AdmitNext: got %s, want none", <-started)
	}
	admit <- true
	if got := <-started; got != "/two" {
		t.Fatalf("third request started: got %s, want /two", got)
	}
	admit <- true
	finish <- true
	finish <- true
	for _, c := range []net.Conn{connOne, connTwo} {
		if r, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || r.StatusCode != 200 {
			t.Errorf("response to /one or /two: got %v and error %v, want status 200", r, err)
		}
	}
}

// TestBrokenConnectionReleasesAdmission checks that a request releases the admission when
// its connection or its handler fails.
func TestBrokenConnectionReleasesAdmission(t *testing.T) {
	server := &Server{Timeout: time.Hour, Handler: echoHandler}
	for _, request := range []string{
		"POST /b HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok",
		"GET /a HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /fail HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		server.serveConn(&brokenConn{scriptedConn{input: strings.NewReader(request)}})
		if !server.admission.TryLock() {
			t.Fatalf("admission after %q: got locked, want free", request)
		}
		server.admission.Unlock()
	}
}

// brokenConn is a connection on which every write fails.
type brokenConn struct{ scriptedConn }

func (*brokenConn) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// TestLateRequestGetsTimeForItsResponse checks that a request that arrives shortly before
// the timeout of its connection still has time for its response: it arrives 9 s after the
// start of a timeout of 10 s, and its handler takes 4 s. It also checks that an idle
// connection is closed 10 s after its last response.
func TestLateRequestGetsTimeForItsResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &Server{Timeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(4 * time.Second)
		})}
		clientSide, serverSide := net.Pipe()
		go server.serveConn(serverSide)
		time.Sleep(9 * time.Second)
		if _, err := io.WriteString(clientSide, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if r, err := http.ReadResponse(bufio.NewReader(clientSide), nil); err != nil || r.StatusCode != 200 {
			t.Fatalf("got response %v and error %v, want status 200", r, err)
		}
		idleSince := time.Now()
		if _, err := clientSide.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || time.Since(idleSince) != 10*time.Second {
			t.Errorf("idle connection: got error %v after %v, want EOF after 10s", err, time.Since(idleSince))
		}
	})
}

// wrappedWriter wraps a response writer, as middleware does. AdmitNext must find the
// server's own writer through Unwrap.
type wrappedWriter struct{ http.ResponseWriter }

func (w wrappedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// TestRequestAllocations bounds the allocations of a request apart from its handler. A
// small machine serves hundreds of requests per second, so each allocation costs
// noticeable processor time.
func TestRequestAllocations(t *testing.T) {
	const requestCount = 200
	request := "POST /agent/beat HTTP/1.1\r\nHost: 10.0.0.1:8080\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
	server := &Server{Timeout: time.Hour, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	total := testing.AllocsPerRun(5, func() {
		conn := &scriptedConn{input: strings.NewReader(strings.Repeat(request, requestCount))}
		server.serveConn(conn)
		if got := strings.Count(conn.output.String(), "200 OK"); got != requestCount {
			t.Fatalf("got %d responses, want %d", got, requestCount)
		}
	})
	if perRequest := total / requestCount; perRequest > 16 {
		t.Errorf("got %.1f allocations per request, want at most 16", perRequest)
	}
}
