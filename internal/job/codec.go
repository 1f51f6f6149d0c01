package job

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// codecVersion is the first byte of every encoded value. A reader refuses other
// versions instead of misreading them.
const codecVersion = 1

// encoding writes times as RFC 3339 with nanoseconds: exact, and readable in a
// dump of the row.
var encoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(fmt.Sprintf("job: encoding options: %v", err))
	}
	return mode
}

// EncodeRecord returns the bytes of a record.
func EncodeRecord(r *Record) ([]byte, error) { return encode(r) }

// DecodeRecord reads what EncodeRecord wrote.
func DecodeRecord(data []byte) (*Record, error) {
	r := &Record{}
	return r, decode(data, r)
}

// EncodeProgress returns the bytes of a progress.
func EncodeProgress(p *Progress) ([]byte, error) { return encode(p) }

// DecodeProgress reads what EncodeProgress wrote.
func DecodeProgress(data []byte) (*Progress, error) {
	p := &Progress{}
	return p, decode(data, p)
}

func encode(v any) ([]byte, error) {
	body, err := encoding.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return append([]byte{codecVersion}, body...), nil
}

func decode(data []byte, v any) error {
	if len(data) == 0 {
		return fmt.Errorf("decode %T: empty value", v)
	}
	if data[0] != codecVersion {
		return fmt.Errorf("decode %T: version %d, this program reads %d", v, data[0], codecVersion)
	}
	if err := cbor.Unmarshal(data[1:], v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
