package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"

	"siskingw/errdefs"
	"siskingw/object"
	"siskingw/publish"
)

// maxResponseBytes is the maximum size of a response body.
const maxResponseBytes = 64 << 20

// Initial and maximum delay between two retries of Apply, before jitter.
const (
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// Client is a client of the admin listener of one node.
type Client struct {
	// OnRetry, unless nil, is called with the error that makes Apply retry.
	OnRetry func(err error)

	baseURL string
	http    *http.Client
}

// NewClient returns a client of the node at address, a host:port. Its methods
// have no timeout except the deadline of their context.
func NewClient(address string) *Client {
	return &Client{baseURL: "http://" + address, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Apply publishes the request. If the response is lost or the error is retriable,
// as when the node or the store is unavailable, it retries until ctx ends, with the
// same operation id, so that the request takes effect at most once. When ctx ends
// it returns StoreUnknown if any attempt may have taken effect, and the error of
// the last attempt otherwise. Other errors are those of publish.Acceptor.Apply.
func (c *Client) Apply(ctx context.Context, req publish.Request) (publish.Result, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return publish.Result{}, errdefs.Internal.Wrap(err, "request cannot be encoded")
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = initialRetryDelay, maxRetryDelay
	unknown := false
	for {
		var res publish.Result
		err := c.do(ctx, http.MethodPost, "/v1/apply", body, &res)
		unknown = unknown || mayHaveTakenEffect(err)
		if !mayHaveTakenEffect(err) && !errorx.HasTrait(err, errdefs.Retriable) {
			return res, err
		}
		if c.OnRetry != nil {
			c.OnRetry(err)
		}
		select {
		case <-time.After(retry.NextBackOff()):
		case <-ctx.Done():
			if unknown {
				err = errdefs.StoreUnknown.Wrap(err, "operation %s may have been accepted; repeat it with the same id", req.OperationID)
			}
			return publish.Result{}, err
		}
	}
}

// mayHaveTakenEffect reports whether a request that failed with err may have taken
// effect.
func mayHaveTakenEffect(err error) bool {
	return errorx.IsOfType(err, errdefs.StoreUnknown) || errorx.IsOfType(err, errdefs.Timeout)
}

// Objects returns the objects of a kind that are in force on the node, or all
// objects if kind is "".
func (c *Client) Objects(ctx context.Context, kind object.Kind) (Objects, error) {
	var out Objects
	err := c.do(ctx, http.MethodGet, "/v1/objects?kind="+url.QueryEscape(string(kind)), nil, &out)
	return out, err
}

// Object returns an object that is in force on the node, or a NotFound error.
func (c *Client) Object(ctx context.Context, k object.Key) (*object.Object, error) {
	out := new(object.Object)
	err := c.do(ctx, http.MethodGet, "/v1/objects/"+escapeSegment(string(k.Kind))+"/"+escapeSegment(k.Name), nil, out)
	return out, err
}

// escapeSegment escapes a string for use as one segment of a path. Dots are escaped
// as well, as the server removes the segments "." and "..".
func escapeSegment(s string) string {
	return strings.ReplaceAll(url.PathEscape(s), ".", "%2E")
}

// History returns up to limit of the latest versions, newest first.
func (c *Client) History(ctx context.Context, limit int) (History, error) {
	var out History
	err := c.do(ctx, http.MethodGet, "/v1/history?limit="+strconv.Itoa(limit), nil, &out)
	return out, err
}

// Status returns the state of the fleet as the node knows it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.do(ctx, http.MethodGet, "/v1/status", nil, &out)
	return out, err
}

// Version returns the version in force on the node.
func (c *Client) Version(ctx context.Context) (Version, error) {
	var out Version
	err := c.do(ctx, http.MethodGet, "/v1/version", nil, &out)
	return out, err
}

// do sends one request and decodes the response into out. It returns
// PeerUnavailable if the request was certainly not sent, Timeout if the response
// was lost, and otherwise the error that the node responded with.
func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	maybeSent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { maybeSent = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method,
		c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return errdefs.Invalid.Wrap(err, "%q is not the address of a node", c.baseURL)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil && !maybeSent {
		return errdefs.PeerUnavailable.Wrap(err, "node at %s cannot be reached", c.baseURL)
	}
	if err != nil {
		return errdefs.Timeout.Wrap(err, "answer of the node at %s was lost", c.baseURL)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errdefs.Timeout.Wrap(err, "answer of the node at %s was cut off", c.baseURL)
	}
	return decode(resp.StatusCode, b, out)
}

// decode decodes a response into out, or returns the typed error that it holds.
func decode(status int, b []byte, out any) error {
	if status != http.StatusOK {
		var failure errorBody
		if err := json.Unmarshal(b, &failure); err != nil || failure.Error == nil {
			return errdefs.Internal.New("node answered %d: %.200q", status, b)
		}
		return fromWire(failure.Error)
	}
	if err := json.Unmarshal(b, out); err != nil {
		return errdefs.Internal.Wrap(err, "answer of the node cannot be decoded")
	}
	return nil
}
