package soak

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxStartTime is the time within which a router must be ready.
	maxStartTime = 10 * time.Second
	// maxShutdownTime is the delay after which the platform follows SIGTERM with SIGKILL, plus a second of allowance
	// for a busy machine.
	maxShutdownTime = 3700*time.Millisecond + time.Second
	// The platform stops opening connections to a router newConnectionsEndAfter after SIGTERM, and stops sending
	// requests requestsEndAfter later.
	newConnectionsEndAfter = 300 * time.Millisecond
	requestsEndAfter       = 200 * time.Millisecond
	// spareDescriptors is the number of descriptors left to a router when they are limited.
	spareDescriptors = 2
)

func (c *cluster) routerFor(fault Fault) *router { return c.routers[fault.Target%len(c.routers)] }

// stopTraffic stops new connections of the router's clients, then all their requests, as the platform does around a
// planned shutdown.
func (r *router) stopTraffic() {
	time.Sleep(newConnectionsEndAfter)
	r.clients.setTraffic(noNewConnections)
	time.Sleep(requestsEndAfter)
	r.clients.setTraffic(noTraffic)
}

// restart starts a new process of a router, configured with all events that discovery has published so far.
func (c *cluster) restart(r *router) {
	address := c.discovery.port(r.index).listener.Addr().String()
	seed := c.routerSeed(r.index) + uint64(time.Now().UnixNano()%997)
	c.fail(r.Configure(c.configuration(r, seed, address)))
	c.record.update(func() { c.record.firstPollAfter[r.index] = map[int]time.Time{} })
	started := time.Now()
	c.fail(r.Start())
	if took := time.Since(started); took > maxStartTime {
		c.fail(fmt.Errorf("%s became ready too late, after %v", r.Name, took))
	}
}

func (c *cluster) stopRouter(fault Fault) {
	r := c.routerFor(fault)
	r.control.Lock()
	defer r.control.Unlock()
	r.dumpRecorder()
	c.record.updateProcess(r.index, func(p *processHistory) { p.stopped = append(p.stopped, time.Now()) })
	r.Signal(syscall.SIGTERM)
	r.stopTraffic()
	select {
	case <-r.Ended():
	case <-time.After(maxShutdownTime - newConnectionsEndAfter - requestsEndAfter):
		c.fail(fmt.Errorf("%s did not end in time after SIGTERM", r.Name))
		c.record.updateProcess(r.index, func(p *processHistory) { p.killed = append(p.killed, time.Now()) })
		r.Kill()
	}
	c.restart(r)
	r.clients.setTraffic(allTraffic)
}

func (c *cluster) killRouter(fault Fault) {
	r := c.routerFor(fault)
	r.control.Lock()
	defer r.control.Unlock()
	c.record.updateProcess(r.index, func(p *processHistory) { p.killed = append(p.killed, time.Now()) })
	from := time.Now()
	r.Kill()
	r.clients.setTraffic(noTraffic)
	c.restart(r)
	c.record.updateProcess(r.index, func(p *processHistory) { p.down = append(p.down, interval{from, time.Now()}) })
	r.clients.setTraffic(allTraffic)
}

func (c *cluster) freezeRouter(fault Fault) {
	r := c.routerFor(fault)
	r.control.Lock()
	defer r.control.Unlock()
	from := time.Now()
	r.Signal(syscall.SIGSTOP)
	time.Sleep(fault.Duration)
	r.Signal(syscall.SIGCONT)
	c.record.updateProcess(r.index, func(p *processHistory) { p.frozen = append(p.frozen, interval{from, time.Now()}) })
}

// exhaustDescriptors limits a router to a few more descriptors than the process has open.
func (c *cluster) exhaustDescriptors(fault Fault) {
	r := c.routerFor(fault)
	r.control.Lock()
	defer r.control.Unlock()
	before, err := setSoftLimit(r.PID(), uint64(openDescriptors(r.PID())+spareDescriptors))
	if err != nil {
		return
	}
	time.Sleep(fault.Duration)
	_, err = setSoftLimit(r.PID(), before)
	c.fail(err)
}

// reloadRouters moves discovery to a new address for every router, and has the routers reload their configuration.
func (c *cluster) reloadRouters(Fault) {
	for _, r := range c.routers {
		old := c.discovery.port(r.index)
		address, err := c.discovery.open(r.index)
		if err != nil {
			c.fail(err)
			return
		}
		c.fail(r.Configure(c.configuration(r, c.routerSeed(r.index), address)))
		r.Signal(syscall.SIGHUP)
		old.shutDown()
	}
}

// dumpRecorder makes a router write its flight recorder to a file, which is kept if the run fails.
func (r *router) dumpRecorder() {
	r.Signal(syscall.SIGUSR1)
	time.Sleep(50 * time.Millisecond)
}

// setSoftLimit sets the soft limit on the descriptors of a process, and returns the previous limit.
func setSoftLimit(pid int, soft uint64) (before uint64, err error) {
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &limit); err != nil {
		return 0, err
	}
	before = limit.Cur
	limit.Cur = min(soft, limit.Max)
	return before, unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil)
}

// openDescriptors returns the number of descriptors that a process has open.
func openDescriptors(pid int) int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(list)
}
