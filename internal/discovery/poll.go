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

// maxTrailingBytes bounds the bytes that are read and discarded after a page so that its connection can be reused.
const maxTrailingBytes = 1 << 10

// poll sends one long-poll request and applies the events of its response. A response that is late or stalls is
// abandoned, but the events that were received completely are still applied.
func (w *Watcher) poll(
	ctx context.Context, client *http.Client, address string, deliver func(engine.Message),
) error {
	start := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(w.limits.PollTimeout, cancel)
	defer watchdog.Stop()
	response, err := w.get(ctx, client, address)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	page, readErr := w.readResponse(response, watchdog)
	now := time.Now()
	applyErr := w.Apply(&page, w.maxEventAge(start, now), deliver)
	if err := cmp.Or(applyErr, readErr); err != nil {
		return err
	}
	w.lastResponse = now
	if w.lastEvent >= page.lastEvent {
		w.onCurrent(start)
	}
	return nil
}

// get requests the events after the last one received. The server may hold the request until there is a new event.
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
		return nil, fmt.Errorf("the discovery server returned status %s", response.Status)
	}
	return response, nil
}

// readResponse reads the page in a response. The watchdog cancels the request if the page stalls or takes too long.
func (w *Watcher) readResponse(response *http.Response, watchdog *time.Timer) (Page, error) {
	watchdog.Reset(w.limits.PollStallTimeout)
	page, err := readPage(&watchedReader{
		reader:       io.LimitReader(response.Body, w.limits.DiscoveryPageBytes),
		watchdog:     watchdog,
		stallTimeout: w.limits.PollStallTimeout,
		deadline:     time.Now().Add(w.limits.PollPageTimeout),
	})
	if err == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxTrailingBytes))
	}
	return page, err
}

// maxEventAge returns how long ago the events of a poll may have been published. The events of a prompt response, or of
// a poll during which the process stalled, may be as old as the previous response. Others were published while the
// server held the poll.
func (w *Watcher) maxEventAge(start, now time.Time) time.Duration {
	switch {
	case w.lastResponse.IsZero():
		return engine.MaxAgeBeforeStart
	case now.Sub(start) < w.limits.PollPromptWithin || w.stalls.StalledSince(start, now):
		return now.Sub(w.lastResponse)
	}
	return 0
}

// watchedReader restarts its watchdog after each read. The watchdog fires when no data arrives within stallTimeout, or
// at the deadline.
type watchedReader struct {
	reader       io.Reader
	watchdog     *time.Timer
	stallTimeout time.Duration
	deadline     time.Time
}

// Read implements io.Reader.
func (r *watchedReader) Read(buffer []byte) (int, error) {
	count, err := r.reader.Read(buffer)
	r.watchdog.Reset(max(0, min(r.stallTimeout, time.Until(r.deadline))))
	return count, err
}
