package rattanentry

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/rattanmember"
	"github.com/rattanlever/rattanlever/rattanplatform"
	"github.com/rattanlever/rattanlever/rattansettings"
)

// Parameters of the instance list benchmarks. The changes per day are those
// of the whole system in docs/design.md, section 2. A rack is the largest
// group of instances that leaves at once.
const (
	changesPerDay = 1_600
	largestRack   = 40
	inventoryZone = "zone-0"
)

// listServer serves an instance list from bodies that are encoded in advance,
// so that a benchmark measures only the client.
type listServer struct {
	instances []rattanplatform.Instance
	bodies    map[string][]byte
	tags      map[string]string
	// compress says whether to send gzip to clients that accept it.
	compress bool
}

// benchmarkInstances returns a list of targets in five zones.
func benchmarkInstances(count int) []rattanplatform.Instance {
	random := rand.New(rand.NewPCG(1, 1))
	instances := make([]rattanplatform.Instance, count)
	for i := range instances {
		instances[i] = rattanplatform.Instance{
			Name:             fmt.Sprintf("target-%05d-%08x", i, random.Uint32()),
			Address:          fmt.Sprintf("10.%d.%d.%d:%d", random.IntN(250), random.IntN(250), random.IntN(250), 9_000+random.IntN(999)),
			AvailabilityZone: fmt.Sprintf("zone-%d", i%5),
			Rack:             fmt.Sprintf("rack-%d", i/largestRack),
			Role:             rattanplatform.RoleTarget,
			Service:          "planner",
			Slots:            8,
			Cores:            30,
			MemoryMB:         130_000,
			Accelerators:     2,
		}
	}
	return instances
}

// changeInstances changes the slots of the first count instances of the zone
// inventoryZone.
func (s *listServer) changeInstances(count int) {
	for i := 0; count > 0 && i < len(s.instances); i++ {
		if s.instances[i].AvailabilityZone == inventoryZone {
			s.instances[i].Slots ^= 1
			count--
		}
	}
	s.encode()
}

func (s *listServer) encode() {
	parts := map[string][]rattanplatform.Instance{"": s.instances}
	for _, instance := range s.instances {
		parts[instance.AvailabilityZone] = append(parts[instance.AvailabilityZone], instance)
	}
	previous := s.bodies
	s.bodies = map[string][]byte{}
	for zone, part := range parts {
		s.bodies[zone], _ = json.Marshal(part)
		if string(s.bodies[zone]) != string(previous[zone]) {
			s.tags[zone] = strconv.Quote(strconv.FormatInt(time.Now().UnixNano(), 10))
		}
	}
}

func (s *listServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("AvailabilityZone")
	w.Header().Set("ETag", s.tags[zone])
	if r.Header.Get("If-None-Match") == s.tags[zone] {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if !s.compress || r.Header.Get("Accept-Encoding") != "gzip" {
		_, _ = w.Write(s.bodies[zone])
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	writer := gzip.NewWriter(w)
	_, _ = writer.Write(s.bodies[zone])
	_ = writer.Close()
}

// countingConn counts the bytes that are read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// noWatchers is a membership without other members.
type noWatchers struct{}

func (noWatchers) Others(time.Time) []rattanmember.Member            { return nil }
func (noWatchers) PrecedingWatchers(time.Time) []rattanmember.Member { return nil }

// singlePool says that the instance owns the only pool of its zone.
type singlePool struct{}

func (singlePool) Pool(time.Time) (pool, pools int, owned bool) { return 0, 1, true }
func (singlePool) SetPools(int)                                 {}

// localPeer passes calls to the handler of another inventory and counts the
// bytes of requests and replies.
type localPeer struct {
	handler func(ctx context.Context, peer string, body []byte) ([]byte, error)
	bytes   atomic.Int64
}

func (p *localPeer) Call(ctx context.Context, _, _ string, body []byte) ([]byte, error) {
	reply, err := p.handler(ctx, "", body)
	p.bytes.Add(int64(len(body) + len(reply)))
	return reply, err
}

func testInventory(platform InstanceLister, peers PeerCaller) *Inventory {
	return NewInventory(InventoryConfig{
		PoolSlots:        rattansettings.Default().Home.PoolSlots,
		Platform:         platform,
		Peers:            peers,
		Watchers:         noWatchers{},
		AvailabilityZone: inventoryZone,
		Home:             benchmarkHome(false, false),
		Documents:        fakeDocuments{},
		Pools:            singlePool{},
		Logger:           logrus.New(),
		OnInstalled:      func(time.Time, []rattanplatform.Instance) {},
		OnChanged:        func() {},
	})
}

// BenchmarkInventory measures one read of the instance list by a watcher, with
// plain and with compressed replies, and one pull of it by a member. Since the
// last read, nothing, one instance or a rack has changed. The time of a watcher
// includes that of the server, which has encoded the list in advance. The time
// of a member includes that of the peer's reply.
func BenchmarkInventory(b *testing.B) {
	for _, size := range []int{500, 2_000, 9_000} {
		for _, changed := range []int{0, 1, largestRack} {
			name := fmt.Sprintf("instances=%d/changed=%d", size, changed)
			b.Run("watcher/"+name, func(b *testing.B) { benchmarkWatcher(b, size, changed, false) })
			b.Run("compressed/"+name, func(b *testing.B) { benchmarkWatcher(b, size, changed, true) })
			b.Run("member/"+name, func(b *testing.B) { benchmarkMember(b, size, changed) })
		}
	}
}

// processCPUTime returns the CPU time that the process has used.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func newListServer(b testing.TB, size int) (*listServer, InstanceLister, *atomic.Int64) {
	lists := &listServer{instances: benchmarkInstances(size), tags: map[string]string{}}
	lists.encode()
	server := httptest.NewServer(lists)
	b.Cleanup(server.Close)
	bytes := &atomic.Int64{}
	client := rattanplatform.New(rattanplatform.Options{
		Address: server.Listener.Addr().String(),
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countingConn{conn, bytes}, err
		},
	})
	b.Cleanup(client.Close)
	return lists, client, bytes
}

func benchmarkWatcher(b *testing.B, size, changed int, compress bool) {
	lists, client, bytes := newListServer(b, size)
	lists.compress = compress
	watcher := testInventory(client, nil)
	mustReadPlatform(b, watcher)
	mustReadPlatform(b, watcher)
	bytes.Store(0)
	cpuUsed := time.Duration(0)
	for b.Loop() {
		b.StopTimer()
		if changed > 0 {
			lists.changeInstances(changed)
		}
		b.StartTimer()
		cpuBefore := processCPUTime()
		mustReadPlatform(b, watcher)
		cpuUsed += processCPUTime() - cpuBefore
	}
	b.ReportMetric(float64(cpuUsed.Microseconds())/float64(b.N), "processor-us/reading")
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/reading")
}

func benchmarkMember(b *testing.B, size, changed int) {
	lists, client, _ := newListServer(b, size)
	watcher := testInventory(client, nil)
	peer := &localPeer{handler: watcher.handlePull}
	member := testInventory(nil, peer)
	mustReadPlatform(b, watcher)
	mustPull(b, member)
	peer.bytes.Store(0)
	cpuUsed := time.Duration(0)
	for b.Loop() {
		b.StopTimer()
		if changed > 0 {
			lists.changeInstances(changed)
		}
		mustReadPlatform(b, watcher)
		b.StartTimer()
		cpuBefore := processCPUTime()
		mustPull(b, member)
		cpuUsed += processCPUTime() - cpuBefore
	}
	b.ReportMetric(float64(cpuUsed.Microseconds())/float64(b.N), "processor-us/pull")
	b.ReportMetric(float64(peer.bytes.Load())/float64(b.N), "B/pull")
}

func mustReadPlatform(b *testing.B, inventory *Inventory) {
	if err := inventory.readPlatform(context.Background()); err != nil {
		b.Fatal(err)
	}
}

func mustPull(b *testing.B, inventory *Inventory) {
	if err := inventory.pull(context.Background(), "watcher"); err != nil {
		b.Fatal(err)
	}
}
