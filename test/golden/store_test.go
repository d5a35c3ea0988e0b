package golden_test

// These tests pin the commands that a router sends to a shared store, and the format of the values in the store.

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// newStoreFixture starts a router whose only cache is a shared store.
func newStoreFixture(t *testing.T, store *redisServer) *fixture {
	t.Helper()
	return newStoreFixtureWith(t, store, `"lease": true, "keep_ms": 600000`)
}

// newStoreFixtureWith starts a router whose only cache is a shared store, with the given settings of "shared".
func newStoreFixtureWith(t *testing.T, store *redisServer, shared string) *fixture {
	t.Helper()
	f := newFixture(t)
	path := filepath.Join(f.folder, "operator.json")
	f.write(filepath.Join(f.folder, "password"), "secret\n")
	f.write(path, fmt.Sprintf(`{"stores": [{"uid": "s-redis", "addresses": [%q], "weight": 4, "prefix": "fa:",
 "user": "router", "password_file": "password", "database": 3}],
 "shared": {%s}}`, store.address, shared))
	f.start("RELAY_OPERATOR=" + path)
	waitFor(t, "the invalidation log is written", func() bool { return len(store.received("ZADD")) > 0 })
	return f
}

// nowMillis returns the Unix time in milliseconds.
func nowMillis() int64 { return time.Now().UnixMilli() }

// storedValue is a value in a store, in the format that all releases share.
type storedValue struct {
	magic                  string
	format                 byte
	object                 uint64
	part, group            uint32
	generatedAt, validFrom int64
	etag, body             string
}

// newStoredValue returns a value of an object, with the part and group of requestFields.
func newStoredValue(object uint64, generatedAt int64) storedValue {
	return storedValue{
		magic: "FA", format: 1, object: object, part: 3, group: 17, generatedAt: generatedAt, validFrom: generatedAt,
		etag: "0000000000000005", body: "stored",
	}
}

// encode returns the stored bytes: magic, format, length of the ETag, five big-endian fields, ETag, body, and a hash of
// everything before.
func (v storedValue) encode() string {
	b := append([]byte(v.magic), v.format, byte(len(v.etag)))
	b = binary.BigEndian.AppendUint64(b, v.object)
	b = binary.BigEndian.AppendUint32(b, v.part)
	b = binary.BigEndian.AppendUint32(b, v.group)
	b = binary.BigEndian.AppendUint64(b, uint64(v.generatedAt))
	b = binary.BigEndian.AppendUint64(b, uint64(v.validFrom))
	b = append(append(b, v.etag...), v.body...)
	return string(binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)))
}

// doRequest requests an object from the router and returns the response without the request's number.
func doRequest(c *client, id int, class string, object int, fields string) string {
	c.t.Helper()
	c.send("DO", fmt.Sprint(id), class, requestFields(id, object)+fields)
	return fmt.Sprintf("%q", c.receive()[1:])
}

func TestStoreGreeting(t *testing.T) {
	store := newRedisServer(t)
	newStoreFixture(t, store)
	var w strings.Builder
	for _, command := range store.firstCommands(3) {
		w.WriteString(normaliseTimes(command))
	}
	expectGolden(t, "store_greeting.txt", []byte(w.String()))
}

// newStoreWithLog returns a store whose invalidation log another router has kept complete since floor, so that the
// router under test may serve copies generated after floor.
func newStoreWithLog(t *testing.T) (store *redisServer, floor int64) {
	t.Helper()
	store = newRedisServer(t)
	floor = nowMillis() - 300_000
	store.scores["floor"], store.scores["seen"] = float64(floor), float64(nowMillis()+60_000)
	store.scores["o:c9"] = float64(nowMillis() - 1000) // a purge of one object
	store.scores["g:18"] = float64(nowMillis() - 1000) // and of a group
	return store, floor
}

func TestStoreMissIsFilledAndStored(t *testing.T) {
	expectGoldenPlay(t, "store_miss.txt", func() []byte { return playStoreMiss(t) })
}

func playStoreMiss(t *testing.T) []byte {
	t.Helper()
	store, _ := newStoreWithLog(t)
	f := newStoreFixture(t, store)
	client, w := f.client(), &transcript{}
	for index, class := range []string{"clip", "news"} {
		generatedAt, object := nowMillis(), 0xa1+index
		f.parent.set(respond("200", fmt.Sprintf("sum=0000000000000005,t0=%d,how=local", generatedAt), "stored"))
		store.clearCommands()
		_, _ = fmt.Fprintf(w, "# a miss of class %s\n", class)
		_, _ = fmt.Fprintln(w, "client <", doRequest(client, index+1, class, object, ",ver=00000000000000bc"))
		waitFor(t, "the value is stored", func() bool { return len(store.received("PSETEX")) > 0 })
		w.storedValues(f, store)
		set := store.received("PSETEX")[0]
		if want := newStoredValue(uint64(object), generatedAt).encode(); set[3] != want {
			t.Errorf("stored %q, want %q", set[3], want)
		}
		maxLifetime := map[string]int{"clip": 600_000, "news": 90_000}[class] // keep_ms; or maximum age plus grace
		if lifetime, _ := strconv.Atoi(set[2]); lifetime > maxLifetime || lifetime < maxLifetime-int(maxWait.Milliseconds()) {
			t.Errorf("class %s is stored for %s ms, want at most %d", class, set[2], maxLifetime)
		}
		store.clearCommands()
		_, _ = fmt.Fprintln(w, "# then it is served from the store\nclient <", doRequest(client, index+10, class, object, ""))
		w.storedValues(f, store)
	}
	return []byte(w.String())
}

// storedValues records the commands on values and leases, and the requests that the servers received. It leaves out
// DEL, because a lease may either be given back or expire, depending on timing.
func (w *transcript) storedValues(f *fixture, store *redisServer) {
	for _, command := range store.received("GET", "SET", "PSETEX") {
		w.WriteString("store < " + normaliseTimes(command))
	}
	w.addServerRequests(f)
}

func TestStoreLeaseIsGivenBack(t *testing.T) {
	store := newRedisServer(t)
	f := newStoreFixture(t, store)
	c, object := f.client(), 0
	waitFor(t, "a lease is given back", func() bool {
		object++
		f.parent.set(respond("200", fmt.Sprintf("sum=0000000000000005,t0=%d,how=local", nowMillis()), "stored"))
		doRequest(c, object, "clip", object, "")
		return len(store.received("DEL")) > 0
	})
	for _, command := range store.received("DEL") {
		key, isLease := strings.CutPrefix(command[1], "fa:l:")
		if len(command) != 2 || !isLease || !strings.HasSuffix(key, ":3") {
			t.Errorf("%q", command)
		}
	}
}

func TestStoreLeaseOfAnotherRouter(t *testing.T) {
	expectGoldenPlay(t, "store_lease_taken.txt", func() []byte { return playLeaseOfAnotherRouter(t) })
}

func playLeaseOfAnotherRouter(t *testing.T) []byte {
	t.Helper()
	store, _ := newStoreWithLog(t)
	f := newStoreFixture(t, store)
	store.mu.Lock()
	store.onLease = func(string) { // the other router stores its copy now
		store.storedValues["fa:v:b1:3"] = newStoredValue(0xb1, nowMillis()).encode()
	}
	store.mu.Unlock()
	store.clearCommands()
	w := &transcript{}
	_, _ = fmt.Fprintln(w, "client <", doRequest(f.client(), 1, "clip", 0xb1, ""))
	w.storedValues(f, store)
	return []byte(w.String())
}

func TestStoreWithoutLeases(t *testing.T) {
	store, _ := newStoreWithLog(t)
	f := newStoreFixtureWith(t, store, `"lease": false, "keep_ms": 5000`)
	f.parent.set(respond("200", fmt.Sprintf("sum=0000000000000005,t0=%d,how=local", nowMillis()), "stored"))
	store.clearCommands()
	doRequest(f.client(), 1, "clip", 0xa1, "")
	waitFor(t, "the value is stored", func() bool { return len(store.received("PSETEX")) > 0 })
	if leases := store.received("SET"); len(leases) > 0 {
		t.Errorf("got leases %q, want none", leases)
	}
	if lifetime, _ := strconv.Atoi(store.received("PSETEX")[0][2]); lifetime <= 0 || lifetime > 5000 {
		t.Errorf("value is stored for %d ms, want 1 to 5000 ms", lifetime)
	}
}

func TestStoreHealthCheck(t *testing.T) {
	store := newRedisServer(t)
	f := newStoreFixture(t, store)
	f.parent.set(respond("200", "sum=0000000000000005,how=local", "hit"))
	c, object := f.client(), 0
	waitFor(t, "a health check", func() bool {
		object++
		doRequest(c, object, "clip", object, "")
		return len(store.received("PING")) > 0
	})
	if command := store.received("PING")[0]; len(command) != 1 {
		t.Errorf("%q", command)
	}
}

func TestStoredValuesStayReadable(t *testing.T) {
	expectGoldenPlay(t, "store_values.txt", func() []byte { return playStoredValues(t) })
}

func playStoredValues(t *testing.T) []byte {
	t.Helper()
	store, floor := newStoreWithLog(t)
	f := newStoreFixture(t, store)
	f.parent.set(respond("200", fmt.Sprintf("sum=0000000000000006,t0=%d,how=local", nowMillis()), "from the parent"))
	generatedAt, client, w := floor+100_000, f.client(), &transcript{}
	waitFor(t, "the invalidation log is read", func() bool { return len(store.received("ZRANGEBYSCORE")) > 0 })
	w.WriteString("store < " + normaliseTimes(store.received("ZRANGEBYSCORE")[0]))
	for index, change := range []struct {
		name   string
		fields string
		change func(v *storedValue)
	}{
		{"as it is", "", func(*storedValue) {}},
		{"its tag is the client's", ",ver=0000000000000005", func(*storedValue) {}},
		{"no body", "", func(v *storedValue) { v.body = "" }},
		{"bytes of all kinds", "", func(v *storedValue) { v.body = "\r\n\x00\xff$5\r\n" }},
		{"a short tag", "", func(v *storedValue) { v.etag = "x" }},
		{"no tag", "", func(v *storedValue) { v.etag = "" }},
		{"another form", "", func(v *storedValue) { v.format = 2 }},
		{"another magic", "", func(v *storedValue) { v.magic = "FB" }},
		{"another object", "", func(v *storedValue) { v.object++ }},
		{"another part", "", func(v *storedValue) { v.part++ }},
		{"older than the ledger", "", func(v *storedValue) { v.generatedAt, v.validFrom = floor-5000, floor-5000 }},
		{"old but valid", "", func(v *storedValue) { v.generatedAt = floor - 5000 }},
		{"purged", "", func(v *storedValue) { v.object = 0xc9 }},
	} {
		object := uint64(0xc1 + index)
		if change.name == "purged" {
			object = 0xc9
		}
		v := newStoredValue(object, generatedAt)
		change.change(&v)
		store.setValue(fmt.Sprintf("fa:v:%x:3", object), v.encode())
		_, _ = fmt.Fprintf(w, "# %s\nclient < %s\n", change.name,
			doRequest(client, index+1, "clip", int(object), change.fields))
	}
	corrupt := []byte(newStoredValue(0xd1, generatedAt).encode())
	corrupt[40] ^= 1
	store.setValue("fa:v:d1:3", string(corrupt))
	_, _ = fmt.Fprintf(w, "# a bit is wrong\nclient < %s\n", doRequest(client, 50, "clip", 0xd1, ""))
	return []byte(w.String())
}

func TestStoreLedger(t *testing.T) {
	t.Parallel() // waits some seconds until old purges are dropped
	store := newRedisServer(t)
	f := newStoreFixture(t, store)
	w := &transcript{}
	w.WriteString("the ledger is read: " + normaliseTimes(store.received("ZMSCORE")[0]))
	w.WriteString("it is begun: " + normaliseTimes(store.received("ZADD")[0]))
	for _, purge := range []struct{ event, member string }{
		{`"recall":{"item":"00000000000000e1","issued":%d}`, "o:e1"},
		{`"recall":{"lot":17,"issued":%d}`, "g:17"},
	} {
		issued := nowMillis()
		f.discovery.publish(fmt.Sprintf(purge.event, issued))
		waitFor(t, "a purge is written", func() bool { return store.firstZAdd(purge.member) != nil })
		command := store.firstZAdd(purge.member)
		w.WriteString("a purge: " + normaliseTimes(command))
		if command[3] != fmt.Sprint(issued) {
			t.Errorf("purge issued at %d is written as %q, want the same time", issued, command)
		}
	}
	waitFor(t, "old purges are dropped", func() bool { return len(store.received("ZREMRANGEBYSCORE")) > 0 })
	w.WriteString("old purges are dropped: " + normaliseTimes(store.received("ZREMRANGEBYSCORE")[0]))
	expectGolden(t, "store_ledger.txt", []byte(w.String()))
}
