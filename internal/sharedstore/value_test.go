package sharedstore

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	policy "fennelarch/policy/sharedstore"
)

func testCopy() Copy {
	return Copy{
		Object: 7, Part: 2, Group: 3, GeneratedAt: 1_700_000_000_000, ValidFrom: 1_700_000_000_500, ETag: "tag",
		Body: []byte("bytes"),
	}
}

// The error tells why a value cannot be used.
func ExampleDecode() {
	stored := testCopy()
	valid := stored.Encode(nil)
	read, err := Decode(valid)
	fmt.Println(read.Object, read.Part, read.Group, read.GeneratedAt, read.ValidFrom, read.ETag, string(read.Body), err)
	change := func(at int, to byte) []byte {
		changed := bytes.Clone(valid)
		changed[at] = to
		return changed
	}
	for _, value := range [][]byte{
		nil, []byte("{}"), change(2, 2), valid[:30], valid[:len(valid)-9], change(40, 'x'), change(len(valid)-1, 0),
		change(3, 200),
	} {
		_, err := Decode(value)
		fmt.Println(err)
	}
	// Output:
	// 7 2 3 1700000000000 1700000000500 tag bytes <nil>
	// not a value of this router
	// not a value of this router
	// value has a newer format
	// value is truncated
	// value is truncated
	// checksum mismatch
	// checksum mismatch
	// value is truncated
}

func TestDecodeForRejectsOtherKeys(t *testing.T) {
	stored := testCopy()
	value := stored.Encode(nil)
	if _, err := decodeFor(copyKey{object: 7, part: 2}, value); err != nil {
		t.Error(err)
	}
	for _, key := range []copyKey{{object: 8, part: 2}, {object: 7, part: 1}} {
		if _, err := decodeFor(key, value); !errors.Is(err, ErrWrongKey) {
			t.Errorf("key %v: got error %v, want ErrWrongKey", key, err)
		}
	}
}

// Values and the invalidation log are shared with routers of other releases, so their encoding must not change.
func TestStoredFormIsStable(t *testing.T) {
	stored := testCopy()
	const value = "FA\x01\x03" + "\x00\x00\x00\x00\x00\x00\x00\x07" + "\x00\x00\x00\x02\x00\x00\x00\x03" +
		"\x00\x00\x01\x8b\xcf\xe5\x68\x00" + "\x00\x00\x01\x8b\xcf\xe5\x69\xf4" + "tag" + "bytes"
	if got := stored.Encode(nil); string(got[:len(got)-checksumBytes]) != value {
		t.Errorf("got encoded value %q, want the stable form", got)
	}
	names := keys{"p:"}
	for _, test := range []struct {
		got  []byte
		want string
	}{
		{names.value(copyKey{0xab, 2}), "p:v:ab:2"},
		{names.lease(copyKey{0xab, 2}), "p:l:ab:2"},
		{names.invalidationLog(), "p:purges"},
		{appendMember(nil, policy.Invalidation{Object: 0xab}), "o:ab"},
		{appendMember(nil, policy.Invalidation{Group: 12}), "g:12"},
	} {
		if string(test.got) != test.want {
			t.Errorf("got %q, want %q", test.got, test.want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	seed := Copy{Object: 7, ETag: "tag", Body: []byte("bytes")}
	f.Add(seed.Encode(nil))
	f.Fuzz(func(t *testing.T, value []byte) {
		if decoded, err := Decode(value); err == nil && !bytes.Equal(decoded.Encode(nil), value) {
			t.Errorf("%x is decoded, but encoded differently", value)
		}
	})
}
