package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mulleinfall/internal/api"
	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

type echo struct{}

func (echo) Now() time.Duration { return 0 }
func (echo) Ask(make func(uint64) core.Event, wait time.Duration) (core.Reply, bool) {
	return core.Reply{Status: 200, Body: core.BeatReply{Epoch: 5, Orders: []model.Order{}}}, true
}

func BenchmarkEdge(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{Handler: api.Handler(echo{}), ReadTimeout: 20 * time.Second, ReadHeaderTimeout: 10 * time.Second}
	go srv.Serve(ln)
	defer srv.Close()
	r := model.Report{Host: "n-000231", Endpoint: "10.1.0.232:9000", Type: "g8", Zone: "a", Session: 1, Seq: 88, Epoch: 41}
	for i := 0; i < 4; i++ {
		r.Tasks = append(r.Tasks, model.TaskReport{Task: fmt.Sprintf("req-000412/%d", i), Attempt: 16777216 + uint64(i), State: "running"})
	}
	body, _ := json.Marshal(r)
	raw := []byte(fmt.Sprintf("POST /agent/beat HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	buf := make([]byte, 4096)
	for b.Loop() {
		c.Write(raw)
		n, err := c.Read(buf)
		if err == io.EOF || !bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 200")) {
			b.Fatal(string(buf[:n]))
		}
	}
}
