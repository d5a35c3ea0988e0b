package main

import (
	"time"

	"fennelarch/internal/fake/redis"
	"fennelarch/review/standin"
)

// storePurge shows answers from a shared store that are older than a purge. The disruption is that of ownCopies.
func storePurge(w *world) (verdict, error) {
	site := standin.NewSite(w.record, 20000, 20*time.Millisecond)
	_, discovery, err := startServers(site, standin.Parent, standin.Origin)
	if err != nil {
		return verdict{}, err
	}
	store, err := redis.Start(redis.Config{InitialAge: time.Hour, Seed: 1})
	if err != nil {
		return verdict{}, err
	}
	defer store.Close()
	router, err := w.start(standin.RouterOptions{
		Discovery: discovery,
		Settings:  counterNet(),
		Operator:  operatorFile(store),
	})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(8 * time.Second) // the store is connected, and copies are valid from 6 s before their fill
	if err := askTwice(w, router); err != nil {
		return verdict{}, err
	}
	return purgeDuringOutage(w, site, discovery, router)
}
