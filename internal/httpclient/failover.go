package httpclient

import (
	"context"
	"net/http"
	"time"

	"github.com/grebedock/grebedock/internal/wire"
)

// Times that users are asked to keep to: a request that is not answered for good
// is repeated after a second or what Retry-After says, for up to a minute.
const (
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
	retryTimeout  = time.Minute
)

// FailoverClient are asked in turn, as users are to do it.
type FailoverClient struct {
	Addrs     []string
	TimeScale float64 // of pauses and patience, 1 but in tests
	hosts     *MultiHostClient
}

// NewFailoverClient returns members at these addresses, the first to be asked first.
func NewFailoverClient(addrs []string) *FailoverClient {
	return &FailoverClient{Addrs: addrs, TimeScale: 1, hosts: NewMultiHostClient(8)}
}

// isFinalStatus tells whether a status settles a request: asking again changes nothing.
func isFinalStatus(status int) bool {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge,
		http.StatusUnsupportedMediaType, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// DoUntilFinal makes a request until its answer is final: the next member takes over from
// one that cannot answer. Without one in time ok is false, with the last answer,
// who gave it, and how often it was tried.
func (m *FailoverClient) DoUntilFinal(
	ctx context.Context,
	r wire.Request,
	timeout time.Duration,
) (res Response, from string, attempts int, ok bool, err error) {
	deadline := time.Now().Add(time.Duration(m.TimeScale * float64(retryTimeout)))
	for attempts = 1; ; attempts++ {
		from = m.Addrs[(attempts-1)%len(m.Addrs)]
		if res = m.hosts.DoWithRetryAfter(from, r, timeout); isFinalStatus(res.Status) {
			return res, from, attempts, true, nil
		}
		wait := max(minRetryDelay, min(maxRetryDelay, time.Duration(res.RetryAfterS)*time.Second))
		if res.Status == 0 && attempts%len(m.Addrs) != 0 {
			wait = 0 // another member may be there
		}
		wait = time.Duration(m.TimeScale * float64(wait))
		if time.Now().Add(wait).After(deadline) {
			return res, from, attempts, false, nil
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return res, from, attempts, false, ctx.Err()
		case <-t.C:
		}
	}
}
