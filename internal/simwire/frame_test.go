package simwire

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"fennelarch/internal/config"
	"fennelarch/policy/routing"
)

const confText = `{"az": 1, "classes": [{"deadline_ms": 3000, "effect": "retryable", "importance": 1, "target_ms": 250}],
 "caps": {"most_tries": 6}, "n_instances": 1, "unheard_of": [1, 2],
 "specifics": {"second_tier_kind": 1, "root_kind": 2, "flow_kb_per_s": 1000, "says": "all"}}`

// frame builds a batch from records given as hex without their zeros, and a tail.
func frame(number uint32, tail string, records ...string) []byte {
	body := []byte{}
	for _, rec := range records {
		b, err := hex.DecodeString(strings.ReplaceAll(rec, " ", ""))
		if err != nil {
			panic(err)
		}
		body = append(body, append(b, make([]byte, eventSize-len(b))...)...)
	}
	body = append(body, tail...)
	f := le.AppendUint32(nil, number)
	f = le.AppendUint32(f, uint32(len(records)))
	f = le.AppendUint32(f, uint32(8+len(body)))
	f = le.AppendUint64(f, 0x40c3880000000000) // 10,000 ms
	return append(f, body...)
}

const entries = "\x00\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x01\x00\x00\x00\x0a\x12\x4a\x07\x8b\x13\x00\x00\x80\x3f" +
	"\x00\x00\x00\x00\x00\x00\x00\x00\x01\x01\x00\x00\x00\x00\x00\x0a\x90\x11\xf2\xb4\x13\x00\x00\x80\x3f"

func born() string {
	return fmt.Sprintf("03 07000000 0100000000000000 00000000 %08x", swap(uint32(len(confText))))
}

func swap(v uint32) uint32 { return v<<24 | v>>24 | v<<8&0xff0000 | v>>8&0xff00 }

func list(at int) string { return fmt.Sprintf("02 03 %08x 02000000", swap(uint32(at))) }

const (
	known = "01 07000000 03 02 01000000"
	knock = "05 07000000 0900000000000000 00 00000000 0500000000000000 0000000000409f40 0000c842"
)

// One batch starts a router, names a list and brings a view; the next kills it.
func Example_batches() {
	in := append(frame(1, confText+entries, list(len(confText)), born(), known, knock), frame(2, "", "0a 07000000", knock)...)
	var out bytes.Buffer
	fmt.Println(NewHost().Serve(bytes.NewReader(in), &out))
	reply := out.Bytes()
	fmt.Printf("%x\n", reply[:12])
	for reply = reply[12:]; len(reply) >= actionSize; reply = reply[actionSize:] {
		fmt.Printf("%x\n", reply[:actionSize])
	}
	fmt.Printf("%x\n", reply)
	// Output:
	// <nil>
	// 010000006400000002000000
	// 060700000000000000000034400000000000000000000000000000000000000000000000000000000000000000000000
	// 0307000000090000000000000000000000000000000a124a078b130100000000000000000a9011f2b413000000000000
	// 020000000400000000000000
}

// What is malformed ends the adapter with a plain message.
func Example_malformed() {
	good := frame(1, "", "0a 07000000")
	long := append([]byte{}, good...)
	le.PutUint32(long[8:], 0xfffffff0)
	many := append([]byte{}, good...)
	le.PutUint32(many[4:], 1000)
	for _, in := range [][]byte{
		good[:5], good[:40], long, many, frame(1, "", "63 07000000"),
		frame(1, "", "02 03 ff000000 02000000"), frame(1, "", "02 10"), frame(1, "", "01 07000000 03 09"),
		frame(1, "", "07 07000000 0000000000000000 0000 000000000000 6300"),
		frame(1, "{", "03 07000000 0100000000000000 00000000 01000000"),
	} {
		fmt.Println(NewHost().Serve(bytes.NewReader(in), &bytes.Buffer{}))
	}
	// Output:
	// frame header cut short: unexpected EOF
	// frame cut short: unexpected EOF
	// frame of 4294967280 bytes is out of bounds
	// frame of 84 bytes cannot hold 1000 records
	// record 0: unknown code 99
	// record 0: offset 255 and length 2 leave the tail of 0 bytes
	// record 0: list number 16 is out of bounds
	// record 0: list of unknown scope 9
	// record 0: unknown outcome 99
	// record 0: settings: line 1, column 1: unexpected end of JSON input
}

func Example_settings() {
	s, _, err := config.Decode([]byte(confText))
	fmt.Println(err, s.Zone, s.Routers, s.MaxAttempts, s.ParentKind, s.OriginKind, s.FlowKBPerSecond, s.ResponseDetail == routing.DetailFull)
	fmt.Println(s.Classes[0].LatencyObjective, s.Classes[0].Deadline, s.Classes[0].Idempotency == routing.Idempotent)
	_, _, err = config.Decode([]byte(`{"classes": [{"effect": "odd"}]}`))
	fmt.Println(err)
	// Output:
	// <nil> 1 1 6 1 2 1000 true
	// 250ms 3s true
	// settings.classes.0: the unknown effect "odd"
}

// FuzzBatch: no frame may crash the host, and a reply's size must be that of its records and tail.
func FuzzBatch(f *testing.F) {
	f.Add(frame(1, confText+entries, list(len(confText)), born(), known, knock))
	f.Add(frame(2, "", "07 07000000 0900000000000000 0000 0a124a07 8b13 0900"))
	f.Fuzz(func(t *testing.T, in []byte) {
		h := NewHost()
		_ = h.Batch(frame(1, confText+entries, list(len(confText)), born(), known, knock))
		if err := h.Batch(in); err == nil && len(h.records) != int(h.count)*actionSize {
			t.Errorf("%d records in %d bytes", h.count, len(h.records))
		}
	})
}
