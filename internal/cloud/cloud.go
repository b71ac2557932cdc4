// Package cloud is a client of the cloud that machines are rented from. It makes the calls
// that the core (package core, which makes all decisions) requests and returns their
// results.
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
	"mulleinfall/internal/exactjson"
	"mulleinfall/internal/model"
)

// Client calls the cloud at Addr (host:port). Timeout bounds each call.
type Client struct {
	Addr    string
	HTTP    *http.Client
	Timeout time.Duration
}

const maxResponseBytes = 4 << 20

// wireRent is the body of a rental request. core.CloudCall explains its fields.
type wireRent struct {
	Request string `json:"hire"`
	Type    string `json:"flavor"`
	Zone    string `json:"site"`
	Spot    bool   `json:"loaners"`
	Count   int    `json:"howMany"`
}

// wireReturn is the body of a request that returns machines.
type wireReturn struct {
	Hosts []string `json:"hosts"`
}

// Do makes a call and returns its result. Status 0 means that there was no valid response:
// the outcome is unknown.
func (c *Client) Do(ctx context.Context, call core.CloudCall) core.CloudResult {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	result := core.CloudResult{CallID: call.CallID}
	var err error
	switch call.Op {
	case core.CloudTypes:
		var resp struct {
			Types []model.MachineType `json:"flavors"`
		}
		result.Status, err = c.exchange(ctx, http.MethodGet, "/flavors", nil, &resp)
		result.Types = resp.Types
	case core.CloudList:
		var resp struct {
			Hosts []model.ListedMachine `json:"hosts"`
			More  bool                  `json:"truncated"`
		}
		query := url.Values{"page": {strconv.Itoa(call.Limit)}}
		if call.After != "" {
			query.Set("after", call.After)
		}
		result.Status, err = c.exchange(ctx, http.MethodGet, "/machines?"+query.Encode(), nil, &resp)
		result.Listed, result.More = resp.Hosts, resp.More
	case core.CloudRent:
		var resp struct {
			Hosts []string `json:"hosts"`
		}
		result.Status, err = c.exchange(ctx, http.MethodPost, "/machines",
			wireRent{call.Request, call.Type, call.Zone, call.Spot, call.Count}, &resp)
		result.Hosts = resp.Hosts
	case core.CloudReturn:
		result.Status, err = c.exchange(ctx, http.MethodPost, "/machines/return", wireReturn{call.Hosts}, &struct{}{})
	default:
		err = fmt.Errorf("unknown call %q", call.Op)
	}
	if err != nil {
		result.Status, result.Err = 0, err.Error()
	}
	return result
}

// exchange sends a request, decodes the response of status 200 into result and returns
// the status. After an error the caller must assume that the call may have been carried
// out.
func (c *Client) exchange(ctx context.Context, method, path string, body, result any) (int, error) {
	var bodyReader io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, fmt.Errorf("encode: %w", err)
		}
		bodyReader = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Addr+path, bodyReader)
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
		if err := exactjson.Unmarshal(b, result); err != nil {
			return 0, fmt.Errorf("decode: %w", err)
		}
	}
	return resp.StatusCode, nil
}
