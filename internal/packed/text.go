// Package packed keeps texts of callers in a shorter form on their way through the
// instances and the store. An owner on a narrow link hears each text twice, and passes it
// to each relay that starts a task; packed they have half the length or less.
package packed

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

const (
	// marker is the first byte of a packed text. A plain text that begins with it is
	// packed in any case.
	marker = 0
	// minBytes is the shortest text that is packed: below, there is little to gain.
	minBytes = 64
	// maxUnpackedBytes bounds what a text may grow to when it is unpacked; more is not one of
	// ours.
	maxUnpackedBytes = 1 << 20
)

// Text is a text as it is, or packed.
type Text string

// writers are used again: each has about 1 MB of tables.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic(fmt.Sprintf("packed: %v", err)) // the level is a valid constant
	}
	return w
}}

// Pack returns the packed form of a plain text, or the text itself if that is no longer.
func Pack(plain string) Text {
	forced := plain != "" && plain[0] == marker
	if len(plain) < minBytes && !forced {
		return Text(plain)
	}
	out := bytes.NewBuffer([]byte{marker})
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(out)
	_, _ = w.Write([]byte(plain)) // a buffer takes everything
	_ = w.Close()
	if out.Len() >= len(plain) && !forced {
		return Text(plain)
	}
	return Text(out.String())
}

// Unpack returns the plain text.
func (t Text) Unpack() (string, error) {
	if t == "" || t[0] != marker {
		return string(t), nil
	}
	r := flate.NewReader(bytes.NewReader([]byte(t[1:])))
	defer r.Close()
	plain, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return "", fmt.Errorf("packed text of %d bytes: %w", len(t), err)
	}
	if len(plain) > maxUnpackedBytes {
		return "", fmt.Errorf("packed text of %d bytes: more than %d when unpacked", len(t), maxUnpackedBytes)
	}
	return string(plain), nil
}

// MarshalCBOR implements cbor.Marshaler. Packed texts are no UTF-8, so it writes bytes.
func (t Text) MarshalCBOR() ([]byte, error) { return cbor.Marshal([]byte(t)) }

// UnmarshalCBOR implements cbor.Unmarshaler. It reads bytes, or a text of a record that
// was written before texts were packed.
func (t *Text) UnmarshalCBOR(data []byte) error {
	var raw any
	if err := cbor.Unmarshal(data, &raw); err != nil {
		return err
	}
	switch raw := raw.(type) {
	case []byte:
		*t = Text(raw)
	case string:
		*t = Text(raw)
	default:
		return fmt.Errorf("a text is %T", raw)
	}
	return nil
}
