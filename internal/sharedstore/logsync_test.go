package sharedstore

import (
	"slices"
	"testing"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/resp"

	policy "fennelarch/policy/sharedstore"
)

func TestParseMember(t *testing.T) {
	for _, test := range []struct {
		member, score string
		want          policy.Invalidation
		wantOK        bool
	}{
		{"o:ab", "30", policy.Invalidation{Object: 0xab, IssuedAt: 30}, true},
		{"g:12", "1.7e+12", policy.Invalidation{Group: 12, IssuedAt: 1_700_000_000_000}, true},
		{"g:0", "30", policy.Invalidation{IssuedAt: 30}, true},
		{member: "o:0", score: "30"},
		{member: "o:xyz", score: "30"},
		{member: "g:4294967296", score: "30"},
		{member: "p:12", score: "30"},
		{member: "o:", score: "30"},
		{member: "o:ab", score: "soon"},
		{member: memberCompleteFrom, score: "30"},
		{member: memberCompleteTo, score: "30"},
	} {
		t.Run(test.member+" "+test.score, func(t *testing.T) {
			entry, ok := parseMember([]byte(test.member), []byte(test.score))
			if ok != test.wantOK || ok && entry != test.want {
				t.Errorf("got %+v %v, want %+v %v", entry, ok, test.want, test.wantOK)
			}
		})
	}
}

func TestReadLogPage(t *testing.T) {
	page := parsePage(logPageReply("g:12", "17", "floor", "18", "o:ab", "30"))
	want := []policy.Invalidation{{Group: 12, IssuedAt: 17}, {Object: 0xab, IssuedAt: 30}}
	if !page.ok || !page.isLast || page.fromScore != 5 || page.lastScore != 30 || !slices.Equal(page.entries, want) {
		t.Errorf("last page: got %+v", page)
	}
	var full []string
	for range logPageMembers {
		full = append(full, "g:12", "17")
	}
	if page := parsePage(logPageReply(full...)); !page.ok || page.isLast || len(page.entries) != logPageMembers {
		t.Errorf("full page: got ok %v, last %v, %d entries; want ok and not last", page.ok, page.isLast, len(page.entries))
	}
	if page := parsePage(logPageReply()); !page.ok || !page.isLast || page.lastScore != 5 {
		t.Errorf("empty page: got %+v, want ok and last, at score 5", page)
	}
	if page := parsePage(logPageReply("g:12")); page.ok {
		t.Error("a page with a member without a score is accepted")
	}
	if page := parsePage([]resp.Reply{{Kind: resp.ErrorReply}}); page.ok {
		t.Error("an error is taken for a page")
	}
}

// parsePage parses the reply to a request for the page that starts at score 5.
func parsePage(parts []resp.Reply) logPageResult { return parseLogPage(parts, 5).(logPageResult) }

// logPageReply returns a reply that lists members and their scores.
func logPageReply(fields ...string) []resp.Reply {
	parts := []resp.Reply{{Kind: resp.Array}}
	for _, field := range fields {
		parts = append(parts, resp.Reply{Kind: resp.BulkString, Text: []byte(field)})
	}
	return parts
}

// Each page of a store's log is requested from the last score of the previous page. The entries are merged only if all
// pages were read.
func TestLogIsReadInPages(t *testing.T) {
	first := logPageResult{lastScore: 17, ok: true}
	for _, test := range []struct {
		name       string
		pages      []logPageResult
		wantScores []float64 // scores from which pages were requested
		wantMerged bool
	}{
		{"one", []logPageResult{{isLast: true, ok: true}}, []float64{0}, true},
		{"two", []logPageResult{first, {fromScore: 17, isLast: true, ok: true}}, []float64{0, 17}, true},
		{"the second has failed", []logPageResult{first, {fromScore: 17}}, []float64{0, 17}, false},
		{
			"the second has a single score",
			[]logPageResult{first, {fromScore: 17, lastScore: 17, ok: true}},
			[]float64{0, 17},
			false,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newUnconnectedFixture(t)
			entry := policy.Invalidation{Object: 0xab, IssuedAt: policy.Timestamp(f.startedAt.UnixMilli())}
			test.pages[0].entries = []policy.Invalidation{entry}
			if scores := f.readLog(test.pages); !slices.Equal(scores, test.wantScores) {
				t.Errorf("pages were requested from %v, want %v", scores, test.wantScores)
			}
			if f.clients[engine.EndpointID(storeUID)].isSyncingLog {
				t.Error("the log is still being read")
			}
			isNew := f.coordinator.RecordInvalidation(f.now(), entry)
			if isMerged := !isNew; isMerged != test.wantMerged {
				t.Errorf("got merged %v, want %v", isMerged, test.wantMerged)
			}
		})
	}
}

// readLog plays the pages of a store's log that has purges unknown to this router. It returns the scores from which
// pages were requested.
func (f *fixture) readLog(pages []logPageResult) []float64 {
	bounds := testLimits()
	client := f.clients[engine.EndpointID(storeUID)]
	current := newConnection(&bounds, Credentials{}, time.Now())
	client.setConnection(current, nil)
	startedAt := policy.Timestamp(f.startedAt.UnixMilli())
	stored := policy.LogRange{CompleteFrom: startedAt - 10_000, CompleteTo: startedAt + 600}
	f.handleResults(client, current, []result{logRangeResult{stored: stored, ok: true}})
	for _, page := range pages {
		f.handleResults(client, current, []result{page})
	}
	var scores []float64
	for _, command := range current.waiting {
		if command.kind == commandReadLogPage {
			scores = append(scores, command.fromScore)
		}
	}
	return scores
}
