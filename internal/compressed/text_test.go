package compressed

import (
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

func TestTextsComeBackAsTheyWere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain := rapid.OneOf(rapid.String(), rapid.StringOfN(rapid.RuneFrom([]rune("abcdefghijklmnop")), 0, 2000, -1), rapid.Just("\x00"), rapid.Just("\x00plain")).Draw(t, "plain")
		text := Pack(plain)
		wire, err := cbor.Marshal(text)
		if err != nil {
			t.Fatal(err)
		}
		var got Text
		if err := cbor.Unmarshal(wire, &got); err != nil {
			t.Fatal(err)
		}
		back, err := got.Unpack()
		if err != nil || back != plain {
			t.Fatalf("got %q, %v, want %q", back, err, plain)
		}
		if len(text) > len(plain) && !strings.HasPrefix(plain, "\x00") {
			t.Fatalf("%d bytes were packed into %d", len(plain), len(text))
		}
	})
}

// A random text of 1,200 bytes over 16 letters, the least compressible text expected, must
// shrink to at most 0.6 of its length.
func TestLongTextsGetShorter(t *testing.T) {
	var b strings.Builder
	state := uint32(1)
	for range 1200 {
		state = state*1664525 + 1013904223
		b.WriteByte('a' + byte(state>>28))
	}
	if got := len(Pack(b.String())); got > 720 {
		t.Errorf("1,200 bytes were packed into %d", got)
	}
}

func TestTextsOfEarlierRecordsAreRead(t *testing.T) {
	wire, err := cbor.Marshal("a plain text")
	if err != nil {
		t.Fatal(err)
	}
	var got Text
	if err := cbor.Unmarshal(wire, &got); err != nil || got != "a plain text" {
		t.Errorf("got %q, %v", got, err)
	}
}

func FuzzUnpack(f *testing.F) {
	f.Add("plain")
	f.Add(string(Pack(strings.Repeat("text ", 100))))
	f.Add("\x00\xff")
	f.Fuzz(func(t *testing.T, data string) {
		plain, err := Text(data).Unpack()
		if err == nil && len(plain) > maxUnpackedBytes && data[0] == marker {
			t.Errorf("%d bytes", len(plain))
		}
	})
}
