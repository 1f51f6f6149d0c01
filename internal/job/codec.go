package job

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// codecVersion is the first byte of every encoded value. Values of other versions are
// rejected rather than misinterpreted.
const codecVersion = 1

// compactVersion is the first byte of a progress whose done occurrences are not listed stage by stage.
const compactVersion = 2

// encoding writes times as RFC 3339 with nanoseconds, which is exact and readable in a dump
// of the row.
var encoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(fmt.Sprintf("job: encoding options: %v", err))
	}
	return mode
}

// EncodeRecord returns the stored form of a record.
func EncodeRecord(r *Record) ([]byte, error) { return encode(r) }

// DecodeRecord decodes a value that EncodeRecord wrote. It rejects a record that fails
// Validate: if such a record caused a panic, it would crash each owner that loads it, one
// after the other.
func DecodeRecord(data []byte) (*Record, error) {
	r := &Record{}
	if err := decode(data, r); err != nil {
		return r, err
	}
	if len(r.Steps) == 0 {
		// The record of an ended or withdrawn job has no steps.
		return r, nil
	}
	if err := r.Validate(); err != nil {
		return r, fmt.Errorf("decode %T: %w", r, err)
	}
	return r, nil
}

// EncodeProgress returns the stored form of a job's progress.
func EncodeProgress(p *Progress) ([]byte, error) {
	data, err := encode(p)
	if err == nil && len(p.DoneOccurrences) > 0 && !p.DoneListed {
		data[0] = compactVersion
	}
	return data, err
}

// DecodeProgress decodes a value that EncodeProgress wrote. It rejects negative task
// indexes, for the same reason as DecodeRecord.
func DecodeProgress(data []byte) (*Progress, error) {
	p := &Progress{}
	listed := true
	if len(data) > 0 && data[0] == compactVersion {
		listed = false
		data = append([]byte{codecVersion}, data[1:]...)
	}
	if err := decode(data, p); err != nil {
		return p, err
	}
	p.DoneListed = listed && len(p.DoneOccurrences) > 0
	if err := p.DoneOccurrences.validate(); err != nil {
		return p, fmt.Errorf("decode %T: done occurrences: %w", p, err)
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
