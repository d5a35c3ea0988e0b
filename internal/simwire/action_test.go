package simwire

import (
	"encoding/hex"
	"strings"
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// The simulator defines the bytes of each action record, so they must not change.
func TestActionRecords(t *testing.T) {
	for kind, want := range map[routing.ActionKind]string{
		routing.ActionLookup: "02 07000000 0807060504030201 0a124a078b13 0000000000709740",
		routing.ActionSend: "03 07000000 0807060504030201 0000000000000440 0a124a078b13 03" +
			"0000000000709740 0a9011f2b413 05",
		routing.ActionReject:         "04 07000000 0807060504030201 0000000000003440",
		routing.ActionFail:           "07 07000000 0807060504030201",
		routing.ActionCancel:         "0c 07000000 0807060504030201 0302",
		routing.ActionHealthCheck:    "09 07000000 0a124a078b13",
		routing.ActionTimer:          "06 07000000 0000000000003440 8877665544332211",
		routing.ActionWatchEndpoints: "05 07000000 01",
		routing.ActionPollEndpoints:  "0a 07000000",
		routing.ActionLog:            "00 07000000 06000000 04000000",
	} {
		action := routing.Action{
			Kind: kind, Request: 0x0102030405060708, Attempt: 0x0203, Endpoint: 0x0a124a07138b, Source: 0x0a9011f213b4,
			Timeout: 1500 * time.Millisecond, MaxAge: 2500 * time.Microsecond, CacheRank: 3,
			FillOptions: routing.CoalesceFill | routing.NoStore, Wait: 20 * time.Millisecond, Timer: 0x1122334455667788,
			Text: "line",
		}
		var r reply
		if err := r.addActions(7, []routing.Action{{Kind: routing.ActionLog, Text: "before"}, action}); err != nil {
			t.Fatal(err)
		}
		want = strings.ReplaceAll(want, " ", "")
		want += strings.Repeat("0", 2*actionRecordSize-len(want))
		if got := hex.EncodeToString(r.records[actionRecordSize:]); got != want || r.count != 2 {
			t.Errorf("kind %d: record %s, want %s", kind, got, want)
		}
		wantTexts := "before"
		if kind == routing.ActionLog {
			wantTexts += action.Text
		}
		if string(r.texts) != wantTexts {
			t.Errorf("kind %d: unexpected texts %q", kind, r.texts)
		}
	}
}

func TestUnknownActionIsAnError(t *testing.T) {
	var r reply
	if err := r.addActions(7, []routing.Action{{Kind: routing.ActionLog + 1}}); !asError[*UnknownCodeError](err) {
		t.Errorf("error %v, want an UnknownCodeError", err)
	}
}
