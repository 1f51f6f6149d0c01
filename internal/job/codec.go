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

// DecodeRecord reads what EncodeRecord wrote. It refuses a record that no caller could
// have submitted: a panic over it would end each owner that loads it, one after the other.
func DecodeRecord(data []byte) (*Record, error) {
	r := &Record{}
	if err := decode(data, r); err != nil {
		return r, err
	}
	if len(r.Steps) == 0 {
		// Of a job that has ended or was withdrawn its steps are not kept.
		return r, nil
	}
	if err := r.Validate(); err != nil {
		return r, fmt.Errorf("decode %T: %w", r, err)
	}
	return r, nil
}

// EncodeProgress returns the bytes of a progress.
func EncodeProgress(p *Progress) ([]byte, error) { return encode(p) }

// DecodeProgress reads what EncodeProgress wrote. It refuses a task with a negative number,
// for the reason that DecodeRecord gives.
func DecodeProgress(data []byte) (*Progress, error) {
	p := &Progress{}
	if err := decode(data, p); err != nil {
		return p, err
	}
	for i := range p.Stages {
		for _, t := range p.Stages[i].Tasks {
			if t.Index < 0 {
				return p, fmt.Errorf("decode %T: task %d", p, t.Index)
			}
		}
	}
	return p, nil
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
