package discovery

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"fennelarch/internal/engine"
)

// maxUnreadBytes is how much behind a page is read so that its connection can be used again.
const maxUnreadBytes = 1 << 10

// poll sends one long poll and applies what comes. A response that is late, or stalls, is given up; the complete events
// before its end are applied all the same.
func (w *Watcher) poll(
	ctx context.Context, client *http.Client, address string, deliver func(engine.Message),
) error {
	begun := time.Now()
	ctx, giveUp := context.WithCancel(ctx)
	defer giveUp()
	watchdog := time.AfterFunc(w.limits.PollTimeout, giveUp)
	defer watchdog.Stop()
	response, err := w.get(ctx, client, address)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	page, readErr := w.readResponse(response, watchdog)
	now := time.Now()
	applyErr := w.Apply(&page, w.maxEventAge(begun, now), deliver)
	if err := cmp.Or(applyErr, readErr); err != nil {
		return err
	}
	w.lastResponse = now
	if w.lastEvent >= page.lastEvent {
		w.onCurrent(begun)
	}
	return nil
}

// get asks for the events after the last one; the server may hold the request until there is one.
func (w *Watcher) get(ctx context.Context, client *http.Client, address string) (*http.Response, error) {
	url := fmt.Sprintf("http://%s/bulletins?after=%d&patience=%d",
		address, w.lastEvent, w.limits.PollHold.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("status %s", response.Status)
	}
	return response, nil
}

// readResponse reads a page under the watchdog, which ends the request where the page stalls or goes on for too long.
func (w *Watcher) readResponse(response *http.Response, watchdog *time.Timer) (Page, error) {
	watchdog.Reset(w.limits.PollStallTimeout)
	page, err := readPage(&watchedReader{
		reader:       io.LimitReader(response.Body, w.limits.DiscoveryPageBytes),
		watchdog:     watchdog,
		stallTimeout: w.limits.PollStallTimeout,
		deadline:     time.Now().Add(w.limits.PollPageTimeout),
	})
	if err == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxUnreadBytes))
	}
	return page, err
}

// maxEventAge is how long ago the events of a poll may have been published. With a prompt response they were there
// already, and may be as old as the previous response; else they were published while the poll waited.
func (w *Watcher) maxEventAge(begun, now time.Time) time.Duration {
	switch {
	case w.lastResponse.IsZero():
		return engine.AgeBeforeStart
	case now.Sub(begun) < w.limits.PollPromptWithin || w.stalls.StalledSince(begun, now):
		return now.Sub(w.lastResponse)
	}
	return 0
}

// watchedReader restarts a watchdog at each read: the watchdog fires where nothing comes for too long, or at the
// deadline.
type watchedReader struct {
	reader       io.Reader
	watchdog     *time.Timer
	stallTimeout time.Duration
	deadline     time.Time
}

func (r *watchedReader) Read(buffer []byte) (int, error) {
	count, err := r.reader.Read(buffer)
	r.watchdog.Reset(max(0, min(r.stallTimeout, time.Until(r.deadline))))
	return count, err
}
