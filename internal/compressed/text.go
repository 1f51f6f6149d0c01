// Package compressed compresses texts from callers for transfer between instances and for the store.
// An owner on a slow link receives each text twice and forwards it to each relay that starts a
// task. Compression reduces a text to half its length or less.
package compressed

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

const (
	// marker is the first byte of a compressed text. A plain text that begins with this byte is
	// always compressed.
	marker = 0
	// minBytes is the length from which texts are compressed; shorter texts gain little.
	minBytes = 64
	// maxUnpackedBytes bounds the size of a text after decompression. A larger text was not
	// written by Pack.
	maxUnpackedBytes = 1 << 20
)

// Text is a text in plain or compressed form.
type Text string

// writers are pooled, because each has about 1 MB of tables.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic(fmt.Sprintf("compressed: %v", err)) // the level is a valid constant
	}
	return w
}}

// Pack returns the compressed form of a plain text, or the text itself if compression does not
// make it shorter.
func Pack(plain string) Text {
	forced := plain != "" && plain[0] == marker
	if len(plain) < minBytes && !forced {
		return Text(plain)
	}
	out := bytes.NewBuffer([]byte{marker})
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(out)
	_, _ = w.Write([]byte(plain)) // a bytes.Buffer does not fail
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
		return "", fmt.Errorf("decompress text of %d bytes: %w", len(t), err)
	}
	if len(plain) > maxUnpackedBytes {
		return "", fmt.Errorf("decompress text of %d bytes: result exceeds %d bytes", len(t), maxUnpackedBytes)
	}
	return string(plain), nil
}

// MarshalCBOR implements cbor.Marshaler. Compressed texts are not valid UTF-8, so a byte string
// is written.
func (t Text) MarshalCBOR() ([]byte, error) { return cbor.Marshal([]byte(t)) }

// UnmarshalCBOR implements cbor.Unmarshaler. It reads a byte string, or a text string from a
// record that was written before texts were compressed.
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
		return fmt.Errorf("decode text: unexpected CBOR type %T", raw)
	}
	return nil
}
