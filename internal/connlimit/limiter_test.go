package connlimit

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
)

// The limiter closes the connection of a client that does not read its response.
func TestUnreadResponseIsClosedAfterTimeout(t *testing.T) {
	limiter := NewLimiter("test", Limits{
		Slots:     4,
		BodyBytes: 1000,
		Header:    200 * time.Millisecond,
		Body:      time.Second,
		Response:  300 * time.Millisecond,
		Idle:      time.Minute,
	}, testClasses)
	go limiter.Run(t.Context())
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	app := fiber.New(fiber.Config{DisableStartupMessage: true, StreamRequestBody: true})
	app.Use(LimitBodies(1000))
	app.Get("/", func(c *fiber.Ctx) error { return c.SendString(strings.Repeat("x", 32<<20)) })
	go func() { _ = app.Listener(limiter.Listen(ln)) }()
	t.Cleanup(func() { _ = app.Shutdown() })
	c, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, 10*time.Second, "connection closed for an unread response", func() bool {
		return limiter.Stats().Closed["users"]["late_answer"] > 0
	})
	if s := limiter.Stats(); s.Open["users"] != 0 {
		t.Errorf("got open connections of users, want none: %+v", s)
	}
}

func waitUntil(t *testing.T, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %v waiting for: %s", timeout, what)
		}
	}
}
