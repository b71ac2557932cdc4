// Package cloud speaks the protocol of the cloud that rents machines.
package cloud

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// Client calls the cloud at Addr.
type Client struct {
	Addr    string
	HTTP    *http.Client
	Timeout time.Duration
}

const maxResponseBytes = 4 << 20

type wireRent struct {
	Request string `json:"hire"`
	Type    string `json:"flavor"`
	Zone    string `json:"site"`
	Spot    bool   `json:"loaners"`
	Count   int    `json:"howMany"`
}

type wireReturn struct {
	Hosts []string `json:"hosts"`
}

// Do carries a call out.
func (c *Client) Do(ctx context.Context, call core.CloudCall) core.CloudResult {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	done := core.CloudResult{CallID: call.CallID}
	var err error
	switch call.Op {
	case core.CloudTypes:
		var ans struct {
			Types []model.MachineType `json:"flavors"`
		}
		done.Status, err = c.exchange(ctx, http.MethodGet, "/flavors", nil, &ans)
		done.Types = ans.Types
	case core.CloudList:
		var ans struct {
			Hosts []model.ListedMachine `json:"hosts"`
			More  bool                  `json:"truncated"`
		}
		q := url.Values{"page": {strconv.Itoa(call.Limit)}}
		if call.After != "" {
			q.Set("after", call.After)
		}
		done.Status, err = c.exchange(ctx, http.MethodGet, "/machines?"+q.Encode(), nil, &ans)
		done.Listed, done.More = ans.Hosts, ans.More
	case core.CloudRent:
		var ans struct {
			Hosts []string `json:"hosts"`
		}
		done.Status, err = c.exchange(ctx, http.MethodPost, "/machines",
			wireRent{call.Request, call.Type, call.Zone, call.Spot, call.Count}, &ans)
		done.Hosts = ans.Hosts
	case core.CloudReturn:
		done.Status, err = c.exchange(ctx, http.MethodPost, "/machines/return", wireReturn{call.Hosts}, &struct{}{})
	default:
		err = fmt.Errorf("unknown call %q", call.Op)
	}
	if err != nil {
		done.Status, done.Err = 0, err.Error()
	}
	return done
}

func (c *Client) exchange(ctx context.Context, method, path string, body, into any) (int, error) {
	var rd io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, fmt.Errorf("encode: %w", err)
		}
		rd = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Addr+path, rd)
	if err != nil {
		return 0, fmt.Errorf("request: %w", err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, fmt.Errorf("read: %w", err)
	}
	if resp.StatusCode == http.StatusOK && len(bytes.TrimSpace(b)) > 0 {
		if err := json.Unmarshal(b, into); err != nil {
			return 0, fmt.Errorf("decode: %w", err)
		}
	}
	return resp.StatusCode, nil
}
