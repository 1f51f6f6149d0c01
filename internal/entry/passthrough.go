package entry

import (
	"io"
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", headerForwarded,
}

// forwardableHeaders returns the headers without the hop-by-hop headers.
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

// streamResponse streams an upstream's response to the caller. If the response is truncated, it
// returns an error, and the caller's connection has to be aborted, so that the caller doesn't
// mistake a part for the whole. capture, if not nil, gets a copy of the body.
func streamResponse(w http.ResponseWriter, resp *http.Response, capture *bodyCapture) error {
	flusher := http.NewResponseController(w)
	// Without full duplex, the server discards up to 256 KiB of the request's body if the
	// response begins before the whole body has been forwarded: the upstream would get a
	// body with a gap. HTTP/2 doesn't need this call.
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
