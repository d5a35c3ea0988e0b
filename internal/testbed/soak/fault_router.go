package soak

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxStartTime is how long a router may take to be ready.
	maxStartTime = 10 * time.Second
	// maxShutdownTime is how long after SIGTERM the platform would send SIGKILL, and a second for this machine.
	maxShutdownTime = 3700*time.Millisecond + time.Second
	// The platform sends no new connections to a router that shuts down, and soon after that nothing at all.
	noConnectionsAfter = 300 * time.Millisecond
	noRequestsAfter    = 200 * time.Millisecond
	// spareDescriptors are left to a router that runs out of descriptors.
	spareDescriptors = 2
)

func (c *cluster) routerFor(fault Fault) *router { return c.routers[fault.Target%len(c.routers)] }

// withdrawTraffic has a router's clients stop new connections, and then everything, as the platform does around a
// planned shutdown.
func (r *router) withdrawTraffic() {
	time.Sleep(noConnectionsAfter)
	r.clients.setTraffic(noNewConnections)
	time.Sleep(noRequestsAfter)
	r.clients.setTraffic(noTraffic)
}

// restart starts a router's process anew, with all that discovery has published by now.
func (c *cluster) restart(r *router) {
	address := c.discovery.port(r.index).listener.Addr().String()
	seed := c.routerSeed(r.index) + uint64(time.Now().UnixNano()%997)
	c.fail(r.Configure(c.configuration(r, seed, address)))
	c.record.update(func() { c.record.polledPast[r.index] = map[int]time.Time{} })
	started := time.Now()
	c.fail(r.Start())
	if took := time.Since(started); took > maxStartTime {
		c.fail(fmt.Errorf("%s was ready after %v", r.Name, took))
	}
}

func (c *cluster) stopRouter(fault Fault) {
	r := c.routerFor(fault)
	r.control.Lock()
	defer r.control.Unlock()
	r.dumpRecorder()
	c.record.updateProcess(r.index, func(p *processHistory) { p.stopped = append(p.stopped, time.Now()) })
	r.Signal(syscall.SIGTERM)
	r.withdrawTraffic()
	select {
	case <-r.Ended():
	case <-time.After(maxShutdownTime - noConnectionsAfter - noRequestsAfter):
		c.fail(fmt.Errorf("%s does not end after SIGTERM", r.Name))
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

// exhaustDescriptors leaves a router a few descriptors more than it holds, and fewer as it uses those.
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

// reloadRouters moves discovery to other addresses for all routers at once.
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

// dumpRecorder has a router write its flight recorder out, for the case that the run has failed.
func (r *router) dumpRecorder() {
	r.Signal(syscall.SIGUSR1)
	time.Sleep(50 * time.Millisecond)
}

// setSoftLimit bounds the descriptors of a process, and returns the bound that there was.
func setSoftLimit(pid int, soft uint64) (before uint64, err error) {
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &limit); err != nil {
		return 0, err
	}
	before = limit.Cur
	limit.Cur = min(soft, limit.Max)
	return before, unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil)
}

// openDescriptors is how many descriptors a process holds.
func openDescriptors(pid int) int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(list)
}
