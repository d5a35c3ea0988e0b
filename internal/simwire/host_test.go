package simwire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"

	"fennelarch/internal/config"
	"fennelarch/policy/routing"
)

// The first frame starts a router, gives it an endpoint list and sends it a request. The second frame stops the router.
func Example_frames() {
	in := append(newRequestFrame(), newFrame(2, "", stopRecord, requestRecord)...)
	var out bytes.Buffer
	fmt.Println(NewHost().Serve(bytes.NewReader(in), &out))
	reply := out.Bytes()
	fmt.Printf("%x\n", reply[:replyHeaderSize])
	for reply = reply[replyHeaderSize:]; len(reply) >= actionRecordSize; reply = reply[actionRecordSize:] {
		fmt.Printf("%x\n", reply[:actionRecordSize])
	}
	fmt.Printf("%x\n", reply)
	// Output:
	// <nil>
	// 010000006400000002000000
	// 060700000000000000000034400000000000000000000000000000000000000000000000000000000000000000000000
	// 0307000000090000000000000000000000000000000a124a078b130100000000000000000a9011f2b413000000000000
	// 020000000400000000000000
}

// asError reports whether an error in the chain of err is of type T.
func asError[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// Malformed input makes Serve return a typed error.
func TestMalformedInput(t *testing.T) {
	valid := newFrame(1, "", stopRecord)
	tooLarge := append([]byte{}, valid...)
	byteOrder.PutUint32(tooLarge[frameSizeOffset:], 0xfffffff0)
	tooManyRecords := append([]byte{}, valid...)
	byteOrder.PutUint32(tooManyRecords[frameCountOffset:], 1000)
	for _, testCase := range []struct {
		name    string
		in      []byte
		text    string
		hasType func(error) bool
	}{
		{"header cut short", valid[:5], "frame header cut short: unexpected EOF", asError[*TruncatedError]},
		{"frame cut short", valid[:40], "frame cut short: unexpected EOF", asError[*TruncatedError]},
		{"frame cut short after its size", valid[:12], "frame cut short: EOF", asError[*TruncatedError]},
		{"frame too large", tooLarge, "frame of 4294967280 bytes is out of bounds", asError[*SizeError]},
		{"too many records", tooManyRecords, "frame of 84 bytes cannot hold 1000 records", asError[*SizeError]},
		{
			"unknown record code", newFrame(1, "", "63 07000000"),
			"record 0: unknown code 99", asError[*UnknownCodeError],
		},
		{
			"reference beyond the tail", newFrame(1, "", "02 03 ff000000 02000000"),
			"record 0: offset 255 and length 2 leave the tail of 0 bytes", asError[*TailError],
		},
		{
			"list number out of bounds", newFrame(1, "", "02 10"),
			"record 0: list number 16 is out of bounds", asError[*ListNumberError],
		},
		{
			"unknown list scope", newFrame(1, "", "01 07000000 03 09"),
			"record 0: list of unknown scope 9", asError[*UnknownCodeError],
		},
		{
			"unknown outcome", newFrame(1, "", "07 07000000 0000000000000000 0000 000000000000 6300"),
			"record 0: unknown outcome 99", asError[*UnknownCodeError],
		},
		{
			"invalid settings", newFrame(1, "{", "03 07000000 0100000000000000 00000000 01000000"),
			"record 0: settings: line 1, column 1: unexpected end of JSON input", asError[*RecordError],
		},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			err := NewHost().Serve(bytes.NewReader(testCase.in), io.Discard)
			if err == nil || err.Error() != testCase.text || !testCase.hasType(err) {
				t.Errorf("%T: error %v, want %s", err, err, testCase.text)
			}
		})
	}
}

func Example_settings() {
	settings, _, err := config.Decode([]byte(settingsText))
	fmt.Println(err, settings.Zone, settings.Routers, settings.MaxAttempts, settings.ParentKind, settings.OriginKind,
		settings.FlowKBPerSecond, settings.ResponseDetail == routing.DetailFull)
	class := settings.Classes[0]
	fmt.Println(class.LatencyObjective, class.Deadline, class.Idempotency == routing.Idempotent)
	_, _, err = config.Decode([]byte(`{"classes": [{"effect": "odd"}]}`))
	fmt.Println(err)
	// Output:
	// <nil> 1 1 6 1 2 1000 true
	// 250ms 3s true
	// settings.classes.0: the unknown effect "odd"
}

// FuzzBatch checks that no frame crashes the host, and that the reply holds as many records as it counts.
func FuzzBatch(f *testing.F) {
	f.Add(newRequestFrame())
	f.Add(newFrame(2, "", "07 07000000 0900000000000000 0000 0a124a07 8b13 0900"))
	f.Fuzz(func(t *testing.T, in []byte) {
		host := NewHost()
		_ = host.HandleFrame(newRequestFrame())
		if err := host.HandleFrame(in); err == nil && len(host.reply.records) != int(host.reply.count)*actionRecordSize {
			t.Errorf("reply counts %d records but holds %d bytes of records", host.reply.count, len(host.reply.records))
		}
	})
}
