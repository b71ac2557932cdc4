// Package agent sends direct commands to workers. These are calls that the leader makes by
// itself, as opposed to the orders in its replies to the workers' reports.
package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/segmentio/encoding/json"

	"mulleinfall/internal/core"
	"mulleinfall/internal/exactjson"
	"mulleinfall/internal/model"
)

// Client calls workers. Timeout bounds each call; Now is the monotonic clock of the core
// (package core, which makes all decisions).
type Client struct {
	HTTP    *http.Client
	Timeout time.Duration
	Now     func() time.Duration
}

const maxResponseBytes = 4 << 20

// wireCommands is the body of a direct command. core.AgentCall explains its fields.
type wireCommands struct {
	Epoch   uint64        `json:"epoch"`
	Session uint64        `json:"tenure"`
	Orders  []model.Order `json:"orders"`
}

// Do makes a call and returns its result. Status 0 means that there was no response of
// status 200 or 409 with a valid report: the command may have been executed, or may not
// even have been sent.
func (c *Client) Do(ctx context.Context, call core.AgentCall) core.AgentResult {
	result := core.AgentResult{CallID: call.CallID}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	commands, err := json.Marshal(wireCommands{call.Epoch, call.Session, call.Orders})
	if err != nil {
		return result
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Endpoint+"/commands", bytes.NewReader(commands))
	if err != nil {
		return result
	}
	// With GetBody, the HTTP transport may send a command a second time by itself, and the
	// core must know about every copy.
	req.GetBody = nil
	// SendBefore, when the leadership expires, is checked last: the leadership may have
	// expired while this goroutine was not scheduled.
	if c.Now() >= call.SendBefore {
		return result
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return result
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return result
	}
	if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusConflict {
		var report model.Report
		if exactjson.Unmarshal(body, &report) == nil && report.Host != "" { // every report names its host
			result.Status, result.Report = resp.StatusCode, &report
		}
	}
	return result
}
