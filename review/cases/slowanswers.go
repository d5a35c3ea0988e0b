package main

import (
	"fmt"
	"time"

	"fennelarch/review/standin"
)

const (
	drainGrace  = time.Second
	answerPause = 700 * time.Millisecond
	watchFor    = 11 * time.Second // after the drain
)

// slowAnswers shows requests that are sent to a draining cache while discovery is slow.
func slowAnswers(w *world) (verdict, error) {
	site := standin.NewSite(w.record, 4000, 20*time.Millisecond)
	servers, discovery, err := startServers(site, standin.Cache, standin.Parent, standin.Origin)
	if err != nil {
		return verdict{}, err
	}
	second, err := site.Add("s-second", standin.Cache, 8)
	if err != nil {
		return verdict{}, err
	}
	discovery.PublishList(false, second.Entry("ready"))
	router, err := w.start(standin.RouterOptions{
		Discovery: discovery,
		Settings:  depotRecords("retryable"),
	})
	if err != nil {
		return verdict{}, err
	}
	client, err := standin.Dial(router.Address)
	if err != nil {
		return verdict{}, err
	}
	defer client.Close()
	if w.isTrouble {
		discovery.SetPause(answerPause)
		w.record.Printf("discovery is slow: each answer pauses %v after its head", answerPause)
	}
	time.Sleep(time.Second)
	drained := servers[standin.Cache]
	discovery.PublishList(false, drained.Entry("draining"))
	publishedAt := time.Now()
	w.record.Printf("%s drains", drained.UID)
	for i := 0; time.Since(publishedAt) < watchFor; i++ {
		answer, err := client.Get("clip", standin.NewID(), objectID(i%50), time.Second, ",need=50")
		if err != nil {
			return verdict{}, err
		}
		if answer.Word != "OK" {
			w.record.Printf("client: %s", answer.Word)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return judgeDrain(drained, publishedAt), nil
}

// judgeDrain counts the requests that a server got after its drain was published, and those that it got after the
// grace, counted from when the drain counts as told.
func judgeDrain(drained *standin.Server, publishedAt time.Time) verdict {
	late, total := 0, 0
	for _, fetch := range drained.Ran() {
		since := fetch.At.Sub(publishedAt)
		if since > toldAfter+drainGrace+slack {
			late++
		}
		if since > 0 {
			total++
		}
	}
	return verdict{isBroken: late > 0, text: fmt.Sprintf(
		"%d requests were sent to the draining cache later than its grace after the drain counted as told (%d since the "+
			"drain was published)", late, total)}
}
