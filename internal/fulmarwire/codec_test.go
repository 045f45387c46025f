package fulmarwire_test

import (
	"testing"

	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
)

// FuzzUnmarshal guards against a message that panics the decoder, or whose
// decoded form can't be encoded and decoded again.
func FuzzUnmarshal(f *testing.F) {
	codec, err := fulmarwire.New()
	if err != nil {
		f.Fatal(err)
	}
	for _, m := range []any{
		fulmarwire.Status{ID: "a", Epoch: 1, GrantRemaining: nil, Losses: []fulmarwire.TargetLoss{{Target: "t"}}},
		fulmarwire.Update{Table: []byte{1}, Members: []fulmarwire.Member{{ID: "b"}}},
		map[string]any{"id": "a", "later": map[string]int{"x": 1}},
		map[string]any{"id": 1},
	} {
		b, err := codec.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		f.Add(b[:len(b)-1])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var s fulmarwire.Status
		if codec.Unmarshal(b, &s) != nil {
			return
		}
		again, err := codec.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		var u fulmarwire.Status
		if err := codec.Unmarshal(again, &u); err != nil {
			t.Fatal(err)
		}
	})
}

// TestUnknownFields guards against rejecting a message of a newer daemon that has unknown keys.
func TestUnknownFields(t *testing.T) {
	codec, err := fulmarwire.New()
	if err != nil {
		t.Fatal(err)
	}
	b, err := codec.Marshal(map[string]any{"id": "a", "epoch": 5, "later": []int{1, 2}})
	if err != nil {
		t.Fatal(err)
	}
	var s fulmarwire.Status
	if err := codec.Unmarshal(b, &s); err != nil || s.ID != "a" || s.Epoch != 5 {
		t.Fatalf("got %+v, %v", s, err)
	}
}
