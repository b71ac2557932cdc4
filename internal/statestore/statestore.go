// Package statestore speaks the state service's protocol. It sends what the
// core asks for and brings back what came; retries are the core's business.
package statestore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"mulleinfall/internal/core"
)

// Client calls the state service at Addr.
type Client struct {
	Addr string
	HTTP *http.Client
}

// maxResponseBytes bounds an answer: a page holds 512 KiB at most, a watch can hold
// many changes.
const maxResponseBytes = 16 << 20

type wireItem struct {
	Key         string          `json:"k"`
	Value       json.RawMessage `json:"value"`
	ModRevision uint64          `json:"stamp"`
	Set         string          `json:"set"`
	Remove      string          `json:"remove"`
}

type wireResponse struct {
	Revision uint64     `json:"ledgerRev"`
	Items    []wireItem `json:"items"`
	More     bool       `json:"truncated"`
	Changes  []wireItem `json:"news"`
	Lease    uint64     `json:"tether"`
	Failed   []string   `json:"failed"`
	Error    string     `json:"error"`
}

type wirePrecondition struct {
	Key         string `json:"k"`
	ModRevision uint64 `json:"stamp"`
}

type wireChange struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Lease  uint64          `json:"tether,omitempty"`
	Remove string          `json:"remove,omitempty"`
}

type wireTxn struct {
	Preconditions []wirePrecondition `json:"guards"`
	Changes       []wireChange       `json:"then"`
}

// Do carries a call out.
func (c *Client) Do(ctx context.Context, call core.StoreCall) core.StoreResult {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	done := core.StoreResult{CallID: call.CallID}
	status, ans, err := c.exchange(ctx, call)
	if err != nil {
		done.Err = err.Error()
		return done // whatever arrived: the outcome is not known
	}
	done.Status, done.Err, done.Revision = status, ans.Error, ans.Revision
	done.More, done.Lease, done.FailedKeys = ans.More, ans.Lease, ans.Failed
	for _, it := range append(ans.Items, ans.Changes...) {
		item := core.Item{Key: it.Key, Value: it.Value, ModRevision: it.ModRevision}
		if it.Set != "" {
			item.Key = it.Set
		}
		if it.Remove != "" {
			item.Key, item.Removed = it.Remove, true
		}
		done.Items = append(done.Items, item)
	}
	return done
}

// wireRequest is a call as HTTP carries it; body nil: none.
type wireRequest struct {
	method, path string
	body         any
}

// encode says how a call goes out.
func encode(call core.StoreCall) (wireRequest, error) {
	switch call.Op {
	case core.StoreList:
		query := url.Values{"under": {call.Prefix}, "page": {strconv.Itoa(call.Limit)}}
		if call.StartAfter != "" {
			query.Set("after", call.StartAfter)
		}
		return wireRequest{http.MethodGet, "/keys?" + query.Encode(), nil}, nil
	case core.StoreWatch:
		query := url.Values{"under": {call.Prefix}, "after": {strconv.FormatUint(call.AfterRevision, 10)},
			"blockMs": {strconv.FormatInt(call.BlockTimeout.Milliseconds(), 10)}}
		return wireRequest{http.MethodGet, "/watch?" + query.Encode(), nil}, nil
	case core.StoreTxn:
		return wireRequest{http.MethodPost, "/multi", encodeTxn(call)}, nil
	case core.StoreLease:
		return wireRequest{http.MethodPost, "/grants", map[string]int64{"lifeMs": call.TTL.Milliseconds()}}, nil
	case core.StoreRenew:
		return wireRequest{http.MethodPost, fmt.Sprintf("/grants/%d/touch", call.Lease), nil}, nil
	case core.StoreRevoke:
		return wireRequest{http.MethodDelete, fmt.Sprintf("/grants/%d", call.Lease), nil}, nil
	}
	return wireRequest{}, fmt.Errorf("unknown call %q", call.Op)
}

func encodeTxn(call core.StoreCall) wireTxn {
	t := wireTxn{Preconditions: []wirePrecondition{}, Changes: []wireChange{}}
	for _, g := range call.Preconditions {
		t.Preconditions = append(t.Preconditions, wirePrecondition(g))
	}
	for _, ch := range call.Changes {
		if ch.Remove {
			t.Changes = append(t.Changes, wireChange{Remove: ch.Key})
		} else {
			t.Changes = append(t.Changes, wireChange{Set: ch.Key, Value: ch.Value, Lease: ch.Lease})
		}
	}
	return t
}

// exchange sends a call and reads its answer.
func (c *Client) exchange(ctx context.Context, call core.StoreCall) (int, *wireResponse, error) {
	out, err := encode(call)
	if err != nil {
		return 0, nil, err
	}
	var body io.Reader
	if out.body != nil {
		b, err := json.Marshal(out.body)
		if err != nil {
			return 0, nil, fmt.Errorf("encode: %w", err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, out.method, "http://"+c.Addr+out.path, body)
	if err != nil {
		return 0, nil, fmt.Errorf("request: %w", err)
	}
	// Never let the transport send a change a second time by itself: the
	// core must know of each copy.
	req.GetBody = nil
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	var ans wireResponse
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("read: %w", err)
	}
	if len(bytes.TrimSpace(b)) > 0 {
		if err := json.Unmarshal(b, &ans); err != nil && resp.StatusCode == http.StatusOK {
			return 0, nil, fmt.Errorf("decode: %w", err)
		}
	}
	return resp.StatusCode, &ans, nil
}
