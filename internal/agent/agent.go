// Package agent sends direct commands to the agents on the worker machines.
package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/segmentio/encoding/json"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// Client calls workers. Timeout bounds each call; Now is the monotonic clock of the core.
type Client struct {
	HTTP    *http.Client
	Timeout time.Duration
	Now     func() time.Duration
}

const maxResponseBytes = 4 << 20

// wireCommands is the body of a direct command.
type wireCommands struct {
	Epoch   uint64        `json:"epoch"`
	Session uint64        `json:"tenure"`
	Orders  []model.Order `json:"orders"`
}

// Do makes a call and returns its result. Status 0 means that the outcome is unknown.
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
	// Without GetBody the HTTP transport can't send a command a second time by itself: the
	// core must know about every copy.
	req.GetBody = nil
	// The leader's right to act is checked last: it may have expired while this goroutine
	// was not scheduled.
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
		if json.Unmarshal(body, &report) == nil && report.Host != "" {
			result.Status, result.Report = resp.StatusCode, &report
		}
	}
	return result
}
