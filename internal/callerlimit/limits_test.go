package callerlimit

import "testing"

// Guards against limits that leave too little for the instance itself, or that ordinary callers reach.
func TestLimitsOnMachines(t *testing.T) {
	const mebi = 1 << 20
	for _, m := range []Machine{
		{}, {MemoryBytes: 144 * mebi, Descriptors: 3075}, {MemoryBytes: 160 * mebi, Descriptors: 4100},
		{MemoryBytes: 184 * mebi, Descriptors: 4100}, {MemoryBytes: 284 * mebi, Descriptors: 4100},
		{MemoryBytes: 536 * mebi, Descriptors: 8192}, {MemoryBytes: 536 * mebi, Descriptors: 10250},
	} {
		l, known := LimitsFor(m), m.withDefaults()
		const callsPerRequest = 3
		if used := l.Connections + callsPerRequest*l.Requests; used > (known.Descriptors-fileDescriptors)/2 {
			t.Errorf("%+v: callers may use %d descriptors", m, used)
		}
		if used := int64(l.Connections)*connectionBytes + l.BodyBytes; used > known.MemoryBytes*3/8 {
			t.Errorf("%+v: callers may use %d bytes", m, used)
		}
		if l.Connections < 200 || l.Requests < 60 {
			t.Errorf("%+v: %+v", m, l)
		}
		const largestBody = 4 * 256 << 10
		if l.BodyBytes < 16*largestBody {
			t.Errorf("%+v: %d bytes for bodies", m, l.BodyBytes)
		}
	}
}

func TestLimitsAreNeverZero(t *testing.T) {
	if l := LimitsFor(Machine{MemoryBytes: 1, Descriptors: 1}); l.Connections < 1 || l.Requests < 1 {
		t.Errorf("%+v", l)
	}
}
