package simwire

import (
	"encoding/hex"
	"fmt"
	"math/bits"
	"strings"
)

const settingsText = `{"az": 1,
 "classes": [{"deadline_ms": 3000, "effect": "retryable", "importance": 1, "target_ms": 250}],
 "caps": {"most_tries": 6}, "n_instances": 1, "unheard_of": [1, 2],
 "specifics": {"second_tier_kind": 1, "root_kind": 2, "flow_kb_per_s": 1000, "says": "all"}}`

// listEntries holds the encoded entries of an endpoint list: a cache and a parent.
const listEntries = "\x00\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x01\x00\x00\x00\x0a\x12\x4a\x07\x8b\x13" +
	"\x00\x00\x80\x3f" +
	"\x00\x00\x00\x00\x00\x00\x00\x00\x01\x01\x00\x00\x00\x00\x00\x0a\x90\x11\xf2\xb4\x13\x00\x00\x80\x3f"

// Records of router 7, in hexadecimal.
const (
	endpointsRecord = "01 07000000 03 02 01000000"
	requestRecord   = "05 07000000 0900000000000000 00 00000000 0500000000000000 0000000000409f40 0000c842"
	stopRecord      = "0a 07000000"
)

// startRecord returns a record that starts a router with the settings at the start of the tail.
func startRecord() string {
	return fmt.Sprintf("03 07000000 0100000000000000 00000000 %s", littleEndianHex(len(settingsText)))
}

// listRecord returns a record that defines list 3, whose two entries are at an offset in the tail.
func listRecord(tailOffset int) string {
	return fmt.Sprintf("02 03 %s 02000000", littleEndianHex(tailOffset))
}

func littleEndianHex(n int) string { return fmt.Sprintf("%08x", bits.ReverseBytes32(uint32(n))) }

// newFrame builds a frame from a tail and records, which are given in hexadecimal without their trailing zeros.
func newFrame(number uint32, tail string, records ...string) []byte {
	body := []byte{}
	for _, text := range records {
		fields, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
		if err != nil {
			panic(err)
		}
		body = append(body, append(fields, make([]byte, eventRecordSize-len(fields))...)...)
	}
	body = append(body, tail...)
	frame := byteOrder.AppendUint32(nil, number)
	frame = byteOrder.AppendUint32(frame, uint32(len(records)))
	frame = byteOrder.AppendUint32(frame, uint32(minFrameSize+len(body)))
	frame = byteOrder.AppendUint64(frame, 0x40c3880000000000) // 10,000 ms
	return append(frame, body...)
}

// newRequestFrame returns a frame that starts a router, gives it an endpoint list and sends it a request.
func newRequestFrame() []byte {
	return newFrame(1, settingsText+listEntries,
		listRecord(len(settingsText)), startRecord(), endpointsRecord, requestRecord)
}
