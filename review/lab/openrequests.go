package main

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the limits and of the clients, within those of the pages.
const (
	memoryMB        = 32
	descriptors     = 1024
	soundClients    = 24
	badConnections  = 316 // with the sound ones, a third of the descriptors
	openPerClient   = 32
	badBodyBytes    = 100
	objectBytes     = 100_000
	originWorkers   = 16
	originWork      = 50 * time.Millisecond
	memoryInterval  = 5 * time.Millisecond
	soundInterval   = 200 * time.Millisecond
	settlingTime    = 6 * time.Second
	afterBurst      = 6 * time.Second
	burstPatience   = 3 * time.Second
	kilobytesPerMB  = 1024
	badObjectPrefix = 0xdead
)

// runOpenRequests has bad clients send hundreds of small writes at once, beside sound clients. The platform kills a
// router over its memory. The check is that the router stays within it.
func runOpenRequests(on *stage) error {
	servers, discovery, err := smallFleet(on, 4)
	if err != nil {
		return err
	}
	servers.setObjectBytes(objectBytes)
	servers.find("origin").behave = crowdedOrigin()
	config := routerConfig(discovery, smallSettings())
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": descriptors}
	first, err := on.newRouter(config)
	if err != nil {
		return err
	}
	if err := first.launch(); err != nil {
		return err
	}
	defer first.copyLog()
	if first.memoryKB() == 0 {
		return errors.New("the system does not tell the memory of a process")
	}
	stop := make(chan struct{})
	var playing sync.WaitGroup
	playing.Go(func() { killOverMemory(on, first, stop) })
	var unanswered atomic.Int64
	for i := range soundClients {
		playing.Go(func() { unanswered.Add(askSoundly(on, first, i, stop)) })
	}
	time.Sleep(settlingTime)
	if on.hasTrouble {
		on.log("bad clients send %d writes at once", badConnections*openPerClient)
		for i := range badConnections {
			playing.Go(func() { sendBadly(first.address, i, stop) })
		}
	}
	time.Sleep(afterBurst)
	close(stop)
	playing.Wait()
	on.log("%d requests of sound clients got no answer", unanswered.Load())
	return nil
}

// setObjectBytes sets how many bytes each object has.
func (f *fleet) setObjectBytes(count int) { f.padding = strings.Repeat("x", count) }

// crowdedOrigin returns the behaviour of an origin with few workers, which answers 'error' to the writes.
func crowdedOrigin() func(*fetch) (string, time.Duration) {
	workers := make(chan struct{}, originWorkers)
	return func(received *fetch) (string, time.Duration) {
		if received.class != "activation" {
			return wordOK, 0
		}
		workers <- struct{}{}
		time.Sleep(originWork)
		<-workers
		return wordError, 0
	}
}

// killOverMemory is the platform: it kills a router over its memory.
func killOverMemory(on *stage, watched *router, stop <-chan struct{}) {
	peak := 0
	defer func() { on.log("the router's memory was at most %d KB of %d KB", peak, memoryMB*kilobytesPerMB) }()
	for {
		select {
		case <-stop:
			on.judged()
			return
		case <-watched.ended:
			on.judged()
			on.breach("the router has ended")
			return
		case <-time.After(memoryInterval):
		}
		peak = max(peak, watched.memoryKB())
		if peak > memoryMB*kilobytesPerMB {
			on.judged()
			on.breach("the router's memory was %d KB of %d KB: it was killed", peak, memoryMB*kilobytesPerMB)
			_ = watched.command.Process.Kill()
			return
		}
	}
}

// askSoundly asks for objects, one after the other, and returns how many requests got no answer.
func askSoundly(on *stage, to *router, number int, stop <-chan struct{}) (unanswered int64) {
	const objects = 200
	asking, err := on.connect(fmt.Sprintf("client %d", number), to)
	if err != nil {
		return 0
	}
	defer asking.close()
	for asked := number; ; asked += soundClients + 1 {
		select {
		case <-stop:
			return unanswered
		case <-time.After(soundInterval):
		}
		_, answer, err := asking.send(request{
			class: "guide-video", object: fmt.Sprintf("%016x", 0xc00+asked%objects), group: 5, timeout: burstPatience,
			sizeKB: 200,
		})
		if err != nil {
			return unanswered
		}
		select {
		case _, isAnswered := <-answer:
			if !isAnswered {
				return unanswered + 1
			}
		case <-time.After(burstPatience + time.Second):
			unanswered++
		}
	}
}

// sendBadly sends as many writes as a connection may carry at once, for objects that no server knows, and reads what it
// is sent.
func sendBadly(address string, number int, stop <-chan struct{}) {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	var writes []byte
	for i := range openPerClient {
		fields := fmt.Sprintf("req=%s,timeout=%d,subject=%016x,piece=0,lot=1", newRequestID(),
			burstPatience.Milliseconds(), badObjectPrefix<<32+number*openPerClient+i)
		writes = append(writes, frame("DO", strconv.Itoa(i+1), "activation", fields, fmt.Sprintf("%0*d", badBodyBytes, 0))...)
	}
	if _, err := connection.Write(writes); err != nil {
		return
	}
	go func() {
		buffer := make([]byte, 4096)
		for {
			if _, err := connection.Read(buffer); err != nil {
				return
			}
		}
	}()
	<-stop
}
