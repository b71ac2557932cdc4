// Package statestore is a client of the state service. It makes the calls that the core
// (package core, which makes all decisions) requests and returns their results. It never
// retries: that is up to the core.
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
	"mulleinfall/internal/exactjson"
)

// Client calls the state service at Addr (host:port).
type Client struct {
	Addr string
	HTTP *http.Client
}

// maxResponseBytes bounds a response. A page of keys has at most 512 KiB, but a response
// to a watch may contain many changes. A longer response is cut off, so it can't be decoded.
const maxResponseBytes = 16 << 20

// wireItem is a key of a list, or a change of a watch, as the state service sends it. The
// name of the key is in Key in a list, and in Set or Remove in a watch. ModRevision is the
// revision of the state service at the last change of the key, or at its removal.
type wireItem struct {
	Key         string          `json:"k"`
	Value       json.RawMessage `json:"value"`
	ModRevision uint64          `json:"stamp"`
	Set         string          `json:"set"`
	Remove      string          `json:"remove"`
}

// wireResponse contains the fields of the responses to all calls.
type wireResponse struct {
	Revision uint64     `json:"ledgerRev"`
	Items    []wireItem `json:"items"`
	More     bool       `json:"truncated"`
	Changes  []wireItem `json:"news"`
	Lease    uint64     `json:"tether"`
	Failed   []string   `json:"failed"`
	Error    string     `json:"error"`
}

// wirePrecondition is a core.Precondition as JSON.
type wirePrecondition struct {
	Key         string `json:"k"`
	ModRevision uint64 `json:"stamp"`
}

// wireChange is a core.Change as JSON.
type wireChange struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Lease  uint64          `json:"tether,omitempty"`
	Remove string          `json:"remove,omitempty"`
}

// wireTxn is the body of a transaction.
type wireTxn struct {
	Preconditions []wirePrecondition `json:"guards"`
	Changes       []wireChange       `json:"then"`
}

// Do makes a call and returns its result. Status 0 means that there was no valid response:
// the outcome is unknown.
func (c *Client) Do(ctx context.Context, call core.StoreCall) core.StoreResult {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	result := core.StoreResult{CallID: call.CallID}
	status, resp, err := c.exchange(ctx, call)
	if err != nil {
		result.Err = err.Error()
		return result // Status is 0: the state service may have carried out the call or not
	}
	result.Status, result.Err, result.Revision = status, resp.Error, resp.Revision
	result.More, result.Lease, result.FailedKeys = resp.More, resp.Lease, resp.Failed
	for _, wire := range append(resp.Items, resp.Changes...) {
		item := core.Item{Key: wire.Key, Value: wire.Value, ModRevision: wire.ModRevision}
		if wire.Set != "" {
			item.Key = wire.Set
		}
		if wire.Remove != "" {
			item.Key, item.Removed = wire.Remove, true
		}
		result.Items = append(result.Items, item)
	}
	return result
}

// wireRequest is the HTTP request of a call. A nil body means that there is none.
type wireRequest struct {
	method, path string
	body         any
}

// encode returns the HTTP request of a call.
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

// encodeTxn returns the body of a transaction.
func encodeTxn(call core.StoreCall) wireTxn {
	txn := wireTxn{Preconditions: []wirePrecondition{}, Changes: []wireChange{}}
	for _, precondition := range call.Preconditions {
		txn.Preconditions = append(txn.Preconditions, wirePrecondition(precondition))
	}
	for _, change := range call.Changes {
		if change.Remove {
			txn.Changes = append(txn.Changes, wireChange{Remove: change.Key})
		} else {
			txn.Changes = append(txn.Changes, wireChange{Set: change.Key, Value: change.Value, Lease: change.Lease})
		}
	}
	return txn
}

// exchange sends a call and returns the status and the content of the response, which is
// empty if the body of a response other than 200 can't be decoded. After an error the
// caller must assume that the call may have been carried out.
func (c *Client) exchange(ctx context.Context, call core.StoreCall) (int, *wireResponse, error) {
	encoded, err := encode(call)
	if err != nil {
		return 0, nil, err
	}
	var body io.Reader
	if encoded.body != nil {
		b, err := json.Marshal(encoded.body)
		if err != nil {
			return 0, nil, fmt.Errorf("encode: %w", err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, encoded.method, "http://"+c.Addr+encoded.path, body)
	if err != nil {
		return 0, nil, fmt.Errorf("request: %w", err)
	}
	// With GetBody, the HTTP transport may send a change a second time by itself, and the
	// core must know about every copy.
	req.GetBody = nil
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	var decoded wireResponse
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("read: %w", err)
	}
	if len(bytes.TrimSpace(b)) > 0 {
		if err := exactjson.Unmarshal(b, &decoded); err != nil && resp.StatusCode == http.StatusOK {
			return 0, nil, fmt.Errorf("decode: %w", err)
		}
	}
	return resp.StatusCode, &decoded, nil
}
