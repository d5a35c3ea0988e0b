package resp

import (
	"strings"
	"testing"

	"github.com/tidwall/redcon"
)

// BenchmarkFrame decodes the frame of a request in a ring.
func BenchmarkFrame(b *testing.B) {
	fields := "req=00000000000000a7,timeout=900,subject=00000000000000b1,piece=0,lot=1"
	text := AppendStrings(nil, "DO", "17", "clip", fields, "")
	ring, decoder := Ring{MaxBytes: 64 << 10}, Decoder{MaxStrings: 8, MaxStringBytes: 48_000, MaxFrameBytes: 64 << 10}
	b.ReportAllocs()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		ring.Append(text)
		if args, err := decoder.Next(&ring); len(args) != 5 || err != nil {
			b.Fatal(args, err)
		}
	}
}

// BenchmarkReply decodes a store's reply of 20 KB in a ring.
func BenchmarkReply(b *testing.B) {
	text := redcon.AppendBulkString(nil, strings.Repeat("x", 20_000))
	ring, decoder := Ring{MaxBytes: 256 << 10}, ReplyDecoder{MaxStringBytes: 240_000, MaxLineBytes: 1 << 10, MaxParts: 8}
	b.ReportAllocs()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		ring.Append(text)
		if parts, err := decoder.Next(&ring); len(parts) != 1 || err != nil {
			b.Fatal(parts, err)
		}
	}
}
