package overload

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// shape is how a client sends a body.
type shape struct {
	name string
	// chunked selects a chunked body instead of one with a length.
	chunked bool
	// piece is the number of bytes in a write, or in a chunk.
	piece int
	// pause is the time between two pieces.
	pause time.Duration
}

// shapes are the ways in which a crowd sends its bodies.
var shapes = []shape{
	{name: "whole", piece: maxBodyBytes},
	{name: "pieces", piece: 16 << 10, pause: 5 * time.Millisecond},
	{name: "large chunks", chunked: true, piece: 64 << 10},
	{name: "small chunks", chunked: true, piece: 1},
}

// encode returns the pieces of a body as they are sent. With short set, it leaves out the last byte of the
// body, and the end of a chunked one.
func (s shape) encode(body string, short bool) []string {
	if short {
		body = body[:len(body)-1]
	}
	var pieces []string
	for len(body) > 0 {
		n := min(s.piece, len(body))
		pieces = append(pieces, s.frame(body[:n]))
		body = body[n:]
	}
	if s.chunked && !short {
		pieces = append(pieces, "0\r\n\r\n")
	}
	if s.pause == 0 {
		return []string{strings.Join(pieces, "")}
	}
	return pieces
}

// frame returns a piece of a body as it is sent.
func (s shape) frame(piece string) string {
	if !s.chunked {
		return piece
	}
	return strconv.FormatInt(int64(len(piece)), 16) + "\r\n" + piece + "\r\n"
}

// send writes a request. Its body is in the pieces that encode has returned.
func (s shape) send(w io.Writer, r request) error {
	framing := "Transfer-Encoding: chunked"
	if !s.chunked {
		framing = fmt.Sprintf("Content-Length: %d", r.length)
	}
	if _, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: 3000\r\n%s\r\n\r\n", r.method, r.path, callersHost, framing); err != nil {
		return err
	}
	for _, piece := range r.pieces {
		if _, err := io.WriteString(w, piece); err != nil {
			return err
		}
		time.Sleep(s.pause)
	}
	return nil
}
