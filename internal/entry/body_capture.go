package entry

import "bytes"

// bodyCapture keeps a body up to a limit, and notes if there was more.
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
