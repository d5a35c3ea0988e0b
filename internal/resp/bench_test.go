package resp

import (
	"strings"
	"testing"

	"github.com/tidwall/redcon"
)

// A frame of a view, read out of a ring.
func BenchmarkFrame(b *testing.B) {
	text := redcon.AppendArray(nil, 5)
	for _, w := range []string{"DO", "17", "clip", "req=00000000000000a7,timeout=900,subject=00000000000000b1,piece=0,lot=1", ""} {
		text = redcon.AppendBulkString(text, w)
	}
	r, d := Ring{Bound: 64 << 10}, Decoder{Args: 8, Size: 48_000, Most: 64 << 10}
	b.ReportAllocs()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		r.Append(text)
		if args, err := d.Next(&r); len(args) != 5 || err != nil {
			b.Fatal(args, err)
		}
	}
}

// A store's reply of 20 KB.
func BenchmarkReply(b *testing.B) {
	text := redcon.AppendBulkString(nil, strings.Repeat("x", 20_000))
	r, d := Ring{Bound: 256 << 10}, Replies{Size: 240_000, Line: 1 << 10, Parts: 8}
	b.ReportAllocs()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		r.Append(text)
		if parts, err := d.Next(&r); len(parts) != 1 || err != nil {
			b.Fatal(parts, err)
		}
	}
}
