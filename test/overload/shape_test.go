package overload

import (
	"bufio"
	"fmt"
	"io"
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

// send writes a request. With short set, it leaves out the last byte of the body, or the last chunk.
func (s shape) send(w io.Writer, method, path, body string, short bool) error {
	out := bufio.NewWriterSize(w, 16<<10)
	fmt.Fprintf(out, "%s %s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: 3000\r\n", method, path, callersHost)
	if s.chunked {
		fmt.Fprint(out, "Transfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(out, "Content-Length: %d\r\n\r\n", len(body))
	}
	if short {
		body = body[:len(body)-1]
	}
	for len(body) > 0 {
		n := min(s.piece, len(body))
		s.writePiece(out, body[:n])
		body = body[n:]
		if s.pause > 0 {
			if err := out.Flush(); err != nil {
				return err
			}
			time.Sleep(s.pause)
		}
	}
	if s.chunked && !short {
		fmt.Fprint(out, "0\r\n\r\n")
	}
	return out.Flush()
}

// writePiece writes a piece of the body. Errors of out are returned by its Flush.
func (s shape) writePiece(out *bufio.Writer, piece string) {
	if s.chunked {
		fmt.Fprintf(out, "%x\r\n", len(piece))
	}
	_, _ = out.WriteString(piece)
	if s.chunked {
		_, _ = out.WriteString("\r\n")
	}
}
