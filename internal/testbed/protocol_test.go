package testbed

import (
	"testing"
	"time"

	"fennelarch/internal/fake/site"

	"github.com/tidwall/redcon"
)

func TestRequestFrame(t *testing.T) {
	request := ClientRequest{
		ID: "00000000000000a7", Class: classClip, Object: site.Object{ID: 7, Part: 1}, Group: 3, SizeKB: 30,
		Timeout: 2 * time.Second, Body: "body",
	}
	for _, test := range []struct{ name, version, fields string }{
		{"without a copy", "", "req=00000000000000a7,timeout=2000,subject=0000000000000007,piece=1,lot=3,need=30.0"},
		{"with a copy", "b", "req=00000000000000a7,timeout=2000,subject=0000000000000007,piece=1,lot=3,need=30.0,ver=b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			request.CachedVersion = test.version
			want := string(site.Frame("DO", "9", "clip", test.fields, "body"))
			if got := string(request.Frame("9")); got != want {
				t.Errorf("unexpected frame %q", got)
			}
		})
	}
}

func TestParseResponse(t *testing.T) {
	for _, test := range []struct {
		name, text string
		wantTag    string
		want       Response
	}{
		{"a copy", string(site.Frame("9", "OK", "ver=b", "body")), "9", Response{Status: StatusOK, Body: "body"}},
		{
			"the client's copy is current", string(site.Frame("9", "OK", "unchanged=1", "")), "9",
			Response{Status: StatusOK, IsNotModified: true},
		},
		{"rejected", string(site.Frame("9", "BUSY", "holdoff=5")), "9", Response{Status: StatusBusy}},
		{"a rejected connection", "-BUSY full\r\n", ConnectionRejected, Response{Status: "full"}},
		{"no response", string(site.Frame("9")), "", Response{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, words, _, _, err := redcon.ReadNextCommand([]byte(test.text), nil)
			if err != nil {
				t.Fatal(err)
			}
			if tag, response := ParseResponse(words); tag != test.wantTag || response != test.want {
				t.Errorf("tag %q, response %+v", tag, response)
			}
		})
	}
}
