package testbed

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"fennelarch/internal/fake/redis"
	"fennelarch/internal/fake/site"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	storeUID     = "s-redis"
	parentCount  = 2
	serverWeight = 8
	maxObjectKB  = 1500
	// socketBytesPerKB is the number of bytes sent for each KB of an object's nominal size: a fifteenth, as on the
	// bench's platform.
	socketBytesPerKB = 1024.0 / 15
	minObjectBytes   = 80
)

// ClusterConfig configures a cluster.
type ClusterConfig struct {
	Settings              Settings
	StoreConfig           *redis.Config  // nil: no shared store
	SharedStore           map[string]any // section "shared" of the operator's file
	IsStoreListed         bool           // the endpoint list includes the store
	OperatorExtra         map[string]any // other sections of the operator's file
	ClientTLS             *tls.Config    // of the clients' connections, nil: plain connections
	CacheCount            int
	Objects               int     // number of objects
	Groups                int     // number of purge groups
	PopularitySkew        float64 // exponent of the Zipf distribution, above 1
	MedianSizeKB          float64
	FixedBytes            int // size of each object's body, 0: by the object's nominal size
	OriginTime            site.ServiceTime
	ParentTime            site.ServiceTime
	RouterDescriptorLimit int // 0: the system's limit
}

// Cluster consists of the cache servers, the store, the routers and the clients of one arm of an experiment.
type Cluster struct {
	ClusterConfig
	Seed    uint64
	Site    *site.Site
	Store   *redis.Store
	Origin  *site.CacheServer
	Parents []*site.CacheServer
	Caches  []*site.CacheServer
	Routers []*Router
	Clients []*Clients

	startedAt  time.Time
	folder     string
	sizesKB    []float64 // nominal sizes by object
	background sync.WaitGroup

	mu        sync.Mutex
	purges    []purge
	drains    map[string]time.Time // publication times by server UID
	killTimes map[int][]time.Time  // by router
	errs      []error
}

// purge is a purge of an object or, if the object is 0, of a group.
type purge struct {
	object uint64
	group  int
	at     time.Time
}

// NewCluster starts a cluster without routers.
func NewCluster(seed uint64, config ClusterConfig) (*Cluster, error) {
	cluster := &Cluster{
		ClusterConfig: config, Seed: seed, drains: map[string]time.Time{}, killTimes: map[int][]time.Time{},
	}
	sizes := distuv.LogNormal{Mu: math.Log(max(1, config.MedianSizeKB)), Sigma: 0.6, Src: rand.NewPCG(seed, 4)}
	for range config.Objects + 1 {
		cluster.sizesKB = append(cluster.sizesKB, min(maxObjectKB, sizes.Rand()))
	}
	cluster.Site = site.New(func(object site.Object) int { return cluster.sizeBytes(object.ID) }, cluster.group)
	var err error
	if cluster.folder, err = os.MkdirTemp("", "testbed"); err != nil {
		return nil, err
	}
	endpoints, err := cluster.startServers()
	if err != nil {
		return nil, err
	}
	if config.StoreConfig != nil {
		storeConfig := *config.StoreConfig
		storeConfig.Seed = seed
		if cluster.Store, err = redis.Start(storeConfig); err != nil {
			return nil, err
		}
		if config.IsStoreListed {
			endpoints = append(endpoints, cluster.storeEndpoint(site.StateReady))
		}
	}
	cluster.Site.Discovery.PublishList(endpoints...)
	return cluster, nil
}

// startServers starts the origin, the parents and the caches, and returns their endpoints.
func (c *Cluster) startServers() ([]site.Endpoint, error) {
	var err error
	if c.Origin, err = c.addServer("s-origin", site.Origin, c.OriginTime, 1); err != nil {
		return nil, err
	}
	endpoints := []site.Endpoint{c.Origin.Endpoint(site.StateReady)}
	for i := range parentCount {
		parent, err := c.addServer(fmt.Sprintf("s-parent-%d", i), site.Parent, c.ParentTime, 2+uint64(i))
		if err != nil {
			return nil, err
		}
		c.Parents = append(c.Parents, parent)
		endpoints = append(endpoints, parent.Endpoint(site.StateReady))
	}
	for i := range c.CacheCount {
		serviceTime := site.ServiceTime{Base: time.Millisecond}
		cache, err := c.addServer(fmt.Sprintf("s-box-%d", i), site.Cache, serviceTime, 5+uint64(i))
		if err != nil {
			return nil, err
		}
		c.Caches = append(c.Caches, cache)
		endpoints = append(endpoints, cache.Endpoint(site.StateReady))
	}
	return endpoints, nil
}

func (c *Cluster) addServer(uid string, kind site.Kind, serviceTime site.ServiceTime, seedOffset uint64) (
	*site.CacheServer, error,
) {
	return c.Site.Add(site.CacheServerOptions{
		UID: uid, Kind: kind, Weight: serverWeight, ServiceTime: serviceTime, Seed: c.Seed + seedOffset,
	})
}

// storeEndpoint returns the store's entry in the endpoint list, with the given state.
func (c *Cluster) storeEndpoint(state string) site.Endpoint {
	return site.Endpoint{
		UID: storeUID, Address: c.Store.Address(), Zone: site.Zone, Kind: site.Cache, State: state, Weight: serverWeight,
	}
}

func (c *Cluster) sizeBytes(object uint64) int {
	if c.FixedBytes > 0 {
		return c.FixedBytes
	}
	return max(minObjectBytes, int(c.sizeKB(object)*socketBytesPerKB))
}

func (c *Cluster) sizeKB(object uint64) float64 { return c.sizesKB[int(object)%len(c.sizesKB)] }

func (c *Cluster) group(object uint64) int { return int(object) % max(1, c.Groups) }

// operatorFile returns the text of the operator's file, "" if the routers need none.
func (c *Cluster) operatorFile() string {
	if c.Store == nil && c.OperatorExtra == nil {
		return ""
	}
	file := map[string]any{}
	maps.Copy(file, c.OperatorExtra)
	if c.Store != nil {
		file["stores"] = []map[string]any{{
			"uid": storeUID, "addresses": []string{c.Store.Address()}, "listed": c.IsStoreListed,
			"weight": serverWeight, "prefix": "lab:",
		}}
		file["shared"] = c.SharedStore
	}
	text, _ := json.Marshal(file)
	return string(text)
}

// StartRouters starts more routers, all at the same time, and returns when they are ready.
func (c *Cluster) StartRouters(count int) error {
	program, err := FindProgram()
	if err != nil {
		return err
	}
	first := len(c.Routers)
	for i := first; i < first+count; i++ {
		seed := c.Seed*1000 + uint64(i)
		router, err := NewRouter(RouterOptions{
			Program: program, Folder: c.folder, Name: fmt.Sprintf("n%d", i), OperatorFile: c.operatorFile(),
			SpeaksTLS: c.ClientTLS != nil, DescriptorLimit: c.RouterDescriptorLimit,
		}, c.configuration(seed))
		if err != nil {
			return err
		}
		c.Routers = append(c.Routers, router)
		clients := newClients(i, router.Address, seed)
		clients.tls = c.ClientTLS
		c.Clients = append(c.Clients, clients)
	}
	errs := make(chan error, count)
	for _, router := range c.Routers[first:] {
		go func() { errs <- router.Start() }()
	}
	for range count {
		err = errors.Join(err, <-errs)
	}
	c.startedAt = time.Now()
	return err
}

func (c *Cluster) configuration(seed uint64) Configuration {
	return Configuration{
		Seed: seed, Settings: c.Settings, DiscoveryAddress: c.Site.Discovery.Address,
		KnownEvents: c.Site.Discovery.KnownEvents(),
	}
}

// startCluster starts a cluster with routers. The caller calls End, unless startCluster returns an error.
func startCluster(seed uint64, config ClusterConfig, routers int) (*Cluster, error) {
	cluster, err := NewCluster(seed, config)
	if err != nil {
		return nil, err
	}
	if err := cluster.StartRouters(routers); err != nil {
		cluster.End()
		return nil, err
	}
	return cluster, nil
}

// inBackground runs part of a script concurrently with the rest. End waits for it.
func (c *Cluster) inBackground(run func()) { c.background.Go(run) }

// fail records an error, which fails the arm. It ignores nil.
func (c *Cluster) fail(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.errs = append(c.errs, err)
}

// Kill kills a router's process.
func (c *Cluster) Kill(router int) {
	c.Routers[router].Kill()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killTimes[router] = append(c.killTimes[router], time.Now())
}

// Restart kills a router and starts it again, with the discovery events so far as its known events.
func (c *Cluster) Restart(router int) {
	c.Kill(router)
	c.StartAgain(router)
}

// StartAgain starts a killed router as a new process with the same name and address.
func (c *Cluster) StartAgain(router int) {
	successor := c.Routers[router].successor()
	if err := successor.Configure(c.configuration(c.Seed*1000 + uint64(len(c.Routers)))); err != nil {
		c.fail(err)
		return
	}
	c.fail(successor.Start())
	c.Routers[router] = successor
}

// PurgeObject purges an object.
func (c *Cluster) PurgeObject(object uint64) {
	c.recordPurge(purge{object: object, at: c.Site.PurgeObject(object)})
}

// PurgeGroup purges a group.
func (c *Cluster) PurgeGroup(group int) {
	c.recordPurge(purge{group: group, at: c.Site.PurgeGroup(group)})
}

func (c *Cluster) recordPurge(published purge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.purges = append(c.purges, published)
}

// DrainStore publishes that the store is draining.
func (c *Cluster) DrainStore() {
	c.Site.Discovery.PublishChanges(c.storeEndpoint(site.StateDraining))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drains[storeUID] = time.Now()
}

// pickObject returns one of the most popular objects at random.
func (c *Cluster) pickObject(rng *rand.Rand, mostPopular int) uint64 {
	return uint64(1 + rng.IntN(max(1, min(mostPopular, c.Objects))))
}
