// Package httpclient makes HTTP requests to the services and workers that a
// controller uses, and to controllers on behalf of a user.
//
// The package owns the connections, a Budget of requests and writes for each
// service, and the retries of a FailoverClient. It gets paths and bodies from
// package wire as a wire.Request.
//
// It makes no assumptions about the server: a response may be late, truncated or
// missing. It guarantees that a request ends within its timeout, and that Client
// and MultiHostClient send each request at most once. A Budget sends more urgent
// requests first and stays within its rate.
package httpclient

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/grebedock/grebedock/internal/wire"
)

const jsonContentType = "application/json"

// Client makes requests to one service. It is safe for concurrent use.
type Client struct{ host *fasthttp.HostClient }

// NewClient returns a client for the service at addr, with at most conns
// connections.
func NewClient(addr string, conns int) *Client {
	return &Client{host: &fasthttp.HostClient{
		Addr:                      addr,
		MaxConns:                  conns,
		MaxIdleConnDuration:       time.Minute,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
	}}
}

// Do makes a request and returns the status and the body of the response. Without
// a response in time, the status is 0, and the request may have been executed.
func (c *Client) Do(r wire.Request, timeout time.Duration) (int, []byte) {
	return c.DoType(r, jsonContentType, timeout)
}

// DoType is Do with a content type other than JSON.
func (c *Client) DoType(r wire.Request, contentType string, timeout time.Duration) (int, []byte) {
	return roundTrip(c.host, c.host.Addr, r, contentType, timeout, nil)
}

// MultiHostClient makes requests to many hosts, with few connections to each. It
// is safe for concurrent use.
type MultiHostClient struct{ http *fasthttp.Client }

// NewMultiHostClient returns a client for any address, with at most conns
// connections to each.
func NewMultiHostClient(conns int) *MultiHostClient {
	return &MultiHostClient{http: &fasthttp.Client{
		MaxConnsPerHost:           conns,
		MaxIdleConnDuration:       30 * time.Second,
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
	}}
}

// Do makes a request to the host at addr. Its result is the same as that of
// Client.Do.
func (c *MultiHostClient) Do(addr string, r wire.Request, timeout time.Duration) (int, []byte) {
	return roundTrip(c.http, addr, r, jsonContentType, timeout, nil)
}

// Response is a host's response. Status 0 means that there was none in time.
type Response struct {
	Status      int
	Body        []byte
	RetryAfterS int // Retry-After header in seconds; 0 if absent
}

// DoWithRetryAfter makes a request to the host at addr, and also returns the
// retry time from the response.
func (c *MultiHostClient) DoWithRetryAfter(addr string, r wire.Request, timeout time.Duration) Response {
	var response Response
	readRetryAfter := func(res *fasthttp.Response) {
		response.RetryAfterS, _ = strconv.Atoi(string(res.Header.Peek(fasthttp.HeaderRetryAfter)))
	}
	response.Status, response.Body = roundTrip(c.http, addr, r, jsonContentType, timeout, readRetryAfter)
	return response
}

// neverRetry prevents the library from sending a request twice on its own: the
// first may have been executed, and only the caller can determine that.
func neverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

type timeoutDoer interface {
	DoTimeout(*fasthttp.Request, *fasthttp.Response, time.Duration) error
}

// roundTrip makes one attempt at a request. onResponse, if not nil, receives the
// response before its buffers are recycled and must not retain it.
func roundTrip(
	c timeoutDoer,
	addr string,
	r wire.Request,
	contentType string,
	timeout time.Duration,
	onResponse func(*fasthttp.Response),
) (int, []byte) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + addr + r.Path)
	req.Header.SetMethod(r.Method)
	if r.Body != nil {
		req.Header.SetContentType(contentType)
		req.SetBodyRaw(r.Body)
	}
	if err := c.DoTimeout(req, res, timeout); err != nil {
		return 0, nil
	}
	if onResponse != nil {
		onResponse(res)
	}
	// The body is copied, because the response's buffer is recycled.
	return res.StatusCode(), append([]byte(nil), res.Body()...)
}
