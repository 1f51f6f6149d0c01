package entry

import "bytes"

// bodyCapture buffers a body up to a limit. overflow is set if the body is larger.
type bodyCapture struct {
	limit    int
	body     bytes.Buffer
	overflow bool
}

func (k *bodyCapture) add(p []byte) {
	if k.body.Len()+len(p) > k.limit {
		k.overflow = true
		return
	}
	k.body.Write(p)
}
