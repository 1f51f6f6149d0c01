package entry

import (
	"io"
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders belong to one connection and are not passed on (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", headerForwarded,
}

// forwardableHeaders returns the headers to pass on, without those of the hop.
func forwardableHeaders(in http.Header) http.Header {
	out := in.Clone()
	for _, field := range in.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// streamResponse streams an upstream's answer to the caller. If it breaks off, the
// caller's connection is broken off too, so that a part is never taken for the
// whole. keep, if not nil, gets a copy of the body as it passes.
func streamResponse(w http.ResponseWriter, resp *http.Response, capture *bodyCapture) error {
	flusher := http.NewResponseController(w)
	// Without full duplex the server swallows up to 256 KiB of the request's
	// body when the answer begins before the body has been passed on: the
	// upstream would get a hole in it. HTTP/2 needs no such call.
	_ = flusher.EnableFullDuplex()
	header := w.Header()
	for name, values := range forwardableHeaders(resp.Header) {
		header[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	buffer := make([]byte, copyBuffer)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if capture != nil {
				capture.add(buffer[:n])
			}
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return errCallerGone
			}
			if flushErr := flusher.Flush(); flushErr != nil {
				return errCallerGone
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errResponseTruncated
		}
	}
}
