package httpclient

import (
	"context"
	"net/http"
	"time"

	"github.com/grebedock/grebedock/internal/wire"
)

// Retry policy for users: a request without a final response is repeated after a
// second or the time in Retry-After, for up to a minute.
const (
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
	retryTimeout  = time.Minute
)

// FailoverClient makes requests to the controllers in turn, as users should.
type FailoverClient struct {
	Addrs     []string
	TimeScale float64 // factor for delays and the overall timeout; 1 except in tests
	hosts     *MultiHostClient
}

// NewFailoverClient returns a client of the controllers at addrs. The client
// tries them in this order.
func NewFailoverClient(addrs []string) *FailoverClient {
	return &FailoverClient{Addrs: addrs, TimeScale: 1, hosts: NewMultiHostClient(8)}
}

// isFinalStatus reports whether a status is final: a retry would not change the
// result.
func isFinalStatus(status int) bool {
	switch status {
	case http.StatusOK, http.StatusCreated,
		http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge,
		http.StatusUnsupportedMediaType, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// DoUntilFinal repeats a request, each time at the next controller, until its
// response is final. It returns the last response, the address that sent it, and
// the number of attempts. ok reports whether the response is final. err is ctx's
// error if ctx ended first, and nil otherwise.
func (c *FailoverClient) DoUntilFinal(
	ctx context.Context,
	r wire.Request,
	timeout time.Duration,
) (res Response, from string, attempts int, ok bool, err error) {
	deadline := time.Now().Add(c.scale(retryTimeout))
	for attempts = 1; ; attempts++ {
		from = c.Addrs[(attempts-1)%len(c.Addrs)]
		if res = c.hosts.DoWithRetryAfter(from, r, timeout); isFinalStatus(res.Status) {
			return res, from, attempts, true, nil
		}
		delay := c.retryDelay(res, attempts)
		if time.Now().Add(delay).After(deadline) {
			return res, from, attempts, false, nil
		}
		if err := sleep(ctx, delay); err != nil {
			return res, from, attempts, false, err
		}
	}
}

// retryDelay returns the delay after an attempt without a final response. It is 0
// if the controller did not respond and the current round has controllers left to
// try.
func (c *FailoverClient) retryDelay(res Response, attempts int) time.Duration {
	if res.Status == 0 && attempts%len(c.Addrs) != 0 {
		return 0
	}
	return c.scale(max(minRetryDelay, min(maxRetryDelay, time.Duration(res.RetryAfterS)*time.Second)))
}

func (c *FailoverClient) scale(d time.Duration) time.Duration {
	return time.Duration(c.TimeScale * float64(d))
}

// sleep waits for d. It returns ctx's error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
