package connlimit

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/bytebufferpool"
)

// prefetchedBytes is the part of a body that the HTTP library reads before it
// calls a handler.
const prefetchedBytes = 8 << 10

// LimitBodies returns a handler that reads requests' bodies within the limits of
// their connections before the other handlers process them. limit bounds one body
// in bytes. The server must stream bodies, so that the memory in use grows with
// the bytes that arrive and not with the declared length.
func LimitBodies(limit int) fiber.Handler {
	return func(c *fiber.Ctx) error {
		conn, ok := c.Context().Conn().(*limitedConn)
		if !ok {
			return c.Next()
		}
		accountBytes, err := conn.receiveHeader(c, limit)
		if err != nil {
			return err
		}
		stream := c.Context().RequestBodyStream()
		if stream == nil {
			return c.Next()
		}
		// The request refers to the buffer until its handlers have returned.
		buf := bytebufferpool.Get()
		defer bytebufferpool.Put(buf)
		if err := conn.readBody(buf, stream, limit, accountBytes); err != nil {
			c.Context().SetConnectionClose()
			return err
		}
		c.Request().SetBodyRaw(buf.B)
		if accountBytes && !conn.transition(Serving) {
			return net.ErrClosed
		}
		return c.Next()
	}
}

// receiveHeader either refuses a request because of its header or begins it.
// bodyPending reports that a part of the body has not arrived yet.
func (c *limitedConn) receiveHeader(ctx *fiber.Ctx, limit int) (bodyPending bool, err error) {
	request := ctx.Request()
	if len(request.Header.ContentEncoding()) > 0 {
		// A few kilobytes can decompress to gigabytes, and no client of the
		// protocol sends compressed bodies.
		return false, refuse(ctx, fiber.StatusUnsupportedMediaType, "compressed bodies are not taken")
	}
	length := request.Header.ContentLength()
	if length > limit {
		return false, refuse(ctx, fiber.StatusRequestEntityTooLarge, "the body is too large")
	}
	hasBody := ctx.Context().RequestBodyStream() != nil
	bodyPending = hasBody && (length < 0 || length > prefetchedBytes)
	state := Serving
	if bodyPending {
		state = Body
	}
	ok, pipelined := c.beginRequest(state)
	if !ok {
		return false, net.ErrClosed
	}
	if pipelined && !request.MayContinue() {
		// The protocol has no pipelining, and a client that does not wait for a
		// response may not read it either.
		return false, refuse(ctx, fiber.StatusBadRequest, "requests must not be pipelined")
	}
	return bodyPending, nil
}

// refuse returns the error for a request and closes the connection after the
// response.
func refuse(ctx *fiber.Ctx, status int, text string) error {
	ctx.Context().SetConnectionClose()
	return fiber.NewError(status, text)
}

// readBody reads a body of at most limit bytes into buf. If accountBytes is true,
// the table counts the size of buf.
func (c *limitedConn) readBody(buf *bytebufferpool.ByteBuffer, from io.Reader, limit int, accountBytes bool) error {
	var chunk [prefetchedBytes]byte
	for {
		n, err := from.Read(chunk[:])
		if len(buf.B)+n > limit {
			return fiber.NewError(fiber.StatusRequestEntityTooLarge, "the body is too large")
		}
		buf.B = append(buf.B, chunk[:n]...)
		if accountBytes {
			c.limiter.withTable(func(t *Table, _ time.Duration) []Closed { return t.SetBodyBytes(c.entry, cap(buf.B)) })
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fiber.NewError(fiber.StatusBadRequest, "the body is not whole")
		}
	}
}
