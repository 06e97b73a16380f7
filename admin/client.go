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
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"

	"siskingw/errdefs"
	"siskingw/object"
	"siskingw/publish"
)

// maxAnswerBytes bounds one answer.
const maxAnswerBytes = 64 << 20

// Waits of Apply between two repeats, with jitter.
const (
	firstRetry = 50 * time.Millisecond
	maxRetry   = 2 * time.Second
)

// Client talks to the admin listener of one node.
type Client struct {
	// OnRetry, unless nil, is told why Apply repeats the request.
	OnRetry func(err error)

	base string
	http *http.Client
}

// NewClient returns a client of the node at host:port. Calls are bounded by
// their contexts.
func NewClient(address string) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Apply publishes the request. While the answer is lost, or the node or the
// store cannot be reached, it repeats the request with the same operation id
// until ctx ends. The error is then StoreUnknown unless every attempt
// certainly had no effect. Other errors are those of publish.Acceptor.Apply.
func (c *Client) Apply(ctx context.Context, req publish.Request) (publish.Result, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return publish.Result{}, errdefs.Internal.Wrap(err, "request cannot be encoded")
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = firstRetry, maxRetry
	unknown := false
	for {
		var res publish.Result
		err := c.call(ctx, http.MethodPost, "/v1/apply", body, &res)
		unknown = unknown || isUnknown(err)
		if !isUnknown(err) && !errorx.HasTrait(err, errdefs.Retriable) {
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

// isUnknown reports whether the request may have had an effect.
func isUnknown(err error) bool {
	return errorx.IsOfType(err, errdefs.StoreUnknown) || errorx.IsOfType(err, errdefs.Timeout)
}

// Objects returns the objects in force on the node; kind "" means all.
func (c *Client) Objects(ctx context.Context, kind object.Kind) (Objects, error) {
	var out Objects
	err := c.call(ctx, http.MethodGet, "/v1/objects?kind="+url.QueryEscape(string(kind)), nil, &out)
	return out, err
}

// Object returns one object in force on the node, or NotFound.
func (c *Client) Object(ctx context.Context, k object.Key) (*object.Object, error) {
	out := new(object.Object)
	err := c.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(string(k.Kind))+"/"+url.PathEscape(k.Name), nil, out)
	return out, err
}

// History returns the latest versions, latest first.
func (c *Client) History(ctx context.Context, limit int) (History, error) {
	var out History
	err := c.call(ctx, http.MethodGet, "/v1/history?limit="+strconv.Itoa(limit), nil, &out)
	return out, err
}

// Status returns the state of the fleet as the node knows it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &out)
	return out, err
}

// Version returns the version in force on the node.
func (c *Client) Version(ctx context.Context) (Version, error) {
	var out Version
	err := c.call(ctx, http.MethodGet, "/v1/version", nil, &out)
	return out, err
}

// call makes one request. It returns PeerUnavailable when the request was
// certainly not sent, and Timeout when the answer was lost.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errdefs.Invalid.Wrap(err, "%q is not the address of a node", c.base)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil && !sent {
		return errdefs.PeerUnavailable.Wrap(err, "node at %s cannot be reached", c.base)
	}
	if err != nil {
		return errdefs.Timeout.Wrap(err, "answer of the node at %s was lost", c.base)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errdefs.Timeout.Wrap(err, "answer of the node at %s was cut off", c.base)
	}
	return decode(resp.StatusCode, b, out)
}

// decode reads an answer or the typed error in it.
func decode(status int, b []byte, out any) error {
	if status != http.StatusOK {
		var failed errorBody
		if err := json.Unmarshal(b, &failed); err != nil || failed.Error == nil {
			return errdefs.Internal.New("node answered %d: %.200q", status, b)
		}
		return fromWire(failed.Error)
	}
	if err := json.Unmarshal(b, out); err != nil {
		return errdefs.Internal.Wrap(err, "answer of the node cannot be decoded")
	}
	return nil
}
