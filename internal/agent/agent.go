// Package agent sends direct commands to workers.
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

// Client calls workers. Now is the steady clock of the core.
type Client struct {
	HTTP    *http.Client
	Timeout time.Duration
	Now     func() time.Duration
}

const maxResponseBytes = 4 << 20

type wireCommands struct {
	Epoch   uint64        `json:"epoch"`
	Session uint64        `json:"tenure"`
	Orders  []model.Order `json:"orders"`
}

// Do carries a call out. Status 0 means that the outcome is not known.
func (c *Client) Do(ctx context.Context, call core.AgentCall) core.AgentResult {
	done := core.AgentResult{CallID: call.CallID}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	b, err := json.Marshal(wireCommands{call.Epoch, call.Session, call.Orders})
	if err != nil {
		return done
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Endpoint+"/commands", bytes.NewReader(b))
	if err != nil {
		return done
	}
	// Each copy of a command must be known to the core.
	req.GetBody = nil
	// Entitlement is checked last: the processor may have been away.
	if c.Now() >= call.SendBefore {
		return done
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return done
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return done
	}
	if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusConflict {
		var r model.Report
		if json.Unmarshal(body, &r) == nil && r.Host != "" {
			done.Status, done.Report = resp.StatusCode, &r
		}
	}
	return done
}
