package rattanplatform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanplatform"
	"github.com/rattanlever/rattanlever/rattanstandin"
)

func newPlatform(t *testing.T, options rattanstandin.PlatformOptions) (*rattanstandin.Platform, *rattanplatform.Client) {
	t.Helper()
	platform, err := rattanstandin.NewPlatform(options)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(platform.Close)
	client := rattanplatform.New(rattanplatform.Options{Address: platform.Address(), Timeout: 300 * time.Millisecond})
	t.Cleanup(client.Close)
	return platform, client
}

// TestCompareAndSwap guards against a conditional write or delete that replaces
// a newer revision of the key.
func TestCompareAndSwap(t *testing.T) {
	c := qt.New(t)
	_, client := newPlatform(t, rattanstandin.PlatformOptions{})
	ctx := context.Background()
	const key = "Plans/a b%/1"
	_, err := client.Get(ctx, key)
	c.Assert(err, qt.ErrorIs, rattanplatform.ErrNotFound)
	first, err := client.Put(ctx, key, []byte("a"), rattanplatform.NoRevision, rattanplatform.NoLease)
	c.Assert(err, qt.IsNil)
	_, err = client.Put(ctx, key, []byte("b"), rattanplatform.NoRevision, rattanplatform.NoLease)
	c.Assert(err, qt.ErrorIs, rattanplatform.ErrConflict)
	second, err := client.Put(ctx, key, []byte("b"), first, rattanplatform.NoLease)
	c.Assert(err, qt.IsNil)
	c.Assert(second > first, qt.IsTrue)
	c.Assert(client.Delete(ctx, key, first), qt.ErrorIs, rattanplatform.ErrConflict)
	entry, err := client.Get(ctx, key)
	c.Assert(err, qt.IsNil)
	c.Assert(entry, qt.DeepEquals, rattanplatform.Entry{Key: key, Value: []byte("b"), Revision: second})
	third, err := client.Put(ctx, key, nil, rattanplatform.AnyRevision, rattanplatform.NoLease)
	c.Assert(err, qt.IsNil)
	c.Assert(client.Delete(ctx, key, third), qt.IsNil)
	c.Assert(client.Delete(ctx, key, rattanplatform.AnyRevision), qt.ErrorIs, rattanplatform.ErrNotFound)
	c.Assert(client.Counters.Reads(), qt.Equals, uint64(2))
	c.Assert(client.Counters.Writes(), qt.Equals, uint64(7))
	c.Assert(client.Counters.Conflicts.Load(), qt.Equals, uint64(2))
}

// TestMaxValueSize guards against different size limits at the client and the
// platform.
func TestMaxValueSize(t *testing.T) {
	c := qt.New(t)
	platform, _ := newPlatform(t, rattanstandin.PlatformOptions{})
	// A call with such a value takes 0.3 s under the race detector on a busy machine,
	// which is the timeout of the other tests.
	client := rattanplatform.New(rattanplatform.Options{Address: platform.Address()})
	defer client.Close()
	ctx := context.Background()
	largest := bytes.Repeat([]byte{0xff}, rattanplatform.MaxValueSize)
	_, err := client.Put(ctx, "Key", largest, rattanplatform.NoRevision, rattanplatform.NoLease)
	c.Assert(err, qt.IsNil)
	entry, err := client.Get(ctx, "Key")
	c.Assert(err, qt.IsNil)
	c.Assert(bytes.Equal(entry.Value, largest), qt.IsTrue)
	_, err = client.Put(ctx, "Key", append(largest, 0), rattanplatform.AnyRevision, rattanplatform.NoLease)
	c.Assert(err, qt.ErrorIs, rattanplatform.ErrTooLarge)
}

// TestPutAndGetUnderFaults guards against ErrUnavailable for a write that may
// have taken effect, and against ErrUncertain for a write that the client knows
// to have had no effect.
func TestPutAndGetUnderFaults(t *testing.T) {
	slow := rattanstandin.Faults{}
	qt.Assert(t, slow.Latency.UnmarshalText([]byte("500ms")), qt.IsNil)
	tests := []struct {
		name       string
		faults     rattanstandin.Faults
		down       bool
		silence    rattanstandin.Silence
		wantPutErr error
		wantGetErr error
		// takesEffect is set if the write takes effect even if Put returns an error.
		takesEffect bool
	}{
		{name: "sound", takesEffect: true},
		{name: "unavailable", faults: rattanstandin.Faults{Outage: rattanstandin.OutageUnavailable}, wantPutErr: rattanplatform.ErrUnavailable, wantGetErr: rattanplatform.ErrUnavailable},
		{name: "closed", faults: rattanstandin.Faults{Outage: rattanstandin.OutageClosed}, wantPutErr: rattanplatform.ErrUncertain, wantGetErr: rattanplatform.ErrUnavailable},
		{name: "silent", faults: rattanstandin.Faults{Outage: rattanstandin.OutageSilent}, wantPutErr: rattanplatform.ErrUncertain, wantGetErr: rattanplatform.ErrUnavailable},
		{name: "slow", faults: slow, wantPutErr: rattanplatform.ErrUncertain, wantGetErr: rattanplatform.ErrUnavailable, takesEffect: true},
		{name: "lost responses", faults: rattanstandin.Faults{LostResponseRate: 1}, wantPutErr: rattanplatform.ErrUncertain, takesEffect: true},
		{name: "connections silent in both directions", silence: rattanstandin.SilenceBoth, wantPutErr: rattanplatform.ErrUncertain},
		{name: "connections silent for responses", silence: rattanstandin.SilenceResponses, wantPutErr: rattanplatform.ErrUncertain, takesEffect: true},
		{name: "down", down: true, wantPutErr: rattanplatform.ErrUnavailable, wantGetErr: rattanplatform.ErrUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			platform, client := newPlatform(t, rattanstandin.PlatformOptions{})
			ctx := context.Background()
			revision, err := client.Put(ctx, "Key", []byte("before"), rattanplatform.NoRevision, rattanplatform.NoLease)
			c.Assert(err, qt.IsNil)
			platform.SetFaults(test.faults)
			platform.SilenceConnections(test.silence)
			if test.down {
				// On an idle connection, the client could not tell whether the
				// write was read.
				platform.Close()
				client = rattanplatform.New(rattanplatform.Options{Address: platform.Address()})
			}
			_, err = client.Put(ctx, "Key", []byte("after"), revision, rattanplatform.NoLease)
			c.Check(err, qt.ErrorIs, test.wantPutErr)
			_, err = client.Get(ctx, "Key")
			c.Check(err, qt.ErrorIs, test.wantGetErr)
			if test.down {
				return
			}
			platform.SetFaults(rattanstandin.Faults{})
			time.Sleep(test.faults.Latency.Std())
			written, err := client.VerifyPut(ctx, "Key", []byte("after"), revision)
			if test.takesEffect {
				c.Check(err, qt.IsNil)
				c.Check(written > revision, qt.IsTrue)
				return
			}
			c.Check(err, qt.ErrorIs, rattanplatform.ErrUncertain)
			_, err = client.Put(ctx, "Key", []byte("other"), revision, rattanplatform.NoLease)
			c.Check(err, qt.IsNil)
			_, err = client.VerifyPut(ctx, "Key", []byte("after"), revision)
			c.Check(err, qt.ErrorIs, rattanplatform.ErrConflict)
		})
	}
}

// TestWatch guards against a watch that misses a change, and against a watch
// that returns without a change before its wait is over.
func TestWatch(t *testing.T) {
	c := qt.New(t)
	platform, client := newPlatform(t, rattanstandin.PlatformOptions{})
	ctx := context.Background()
	put := func(key, value string) int64 {
		revision, err := client.Put(ctx, key, []byte(value), rattanplatform.AnyRevision, rattanplatform.NoLease)
		c.Assert(err, qt.IsNil)
		return revision
	}
	put("Plans/1", "a")
	put("Other", "a")
	last := put("Plans/2", "a")
	changes, err := client.Watch(ctx, "Plans/", 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(changes.Revision, qt.Equals, last)
	c.Assert(changes.Entries, qt.HasLen, 2)

	start := time.Now()
	changes, err = client.Watch(ctx, "Plans/", last, 100*time.Millisecond)
	c.Assert(err, qt.IsNil)
	c.Assert(changes, qt.DeepEquals, rattanplatform.Changes{Revision: last})
	c.Assert(time.Since(start) >= 100*time.Millisecond, qt.IsTrue)

	go func() {
		time.Sleep(50 * time.Millisecond)
		put("Other", "b")
		c.Check(client.Delete(ctx, "Plans/1", rattanplatform.AnyRevision), qt.IsNil)
	}()
	changes, err = client.Watch(ctx, "Plans/", last, 10*time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(changes.Entries, qt.DeepEquals, []rattanplatform.Entry{{Key: "Plans/1", Revision: changes.Revision, Deleted: true}})

	go func() {
		time.Sleep(50 * time.Millisecond)
		platform.SetFaults(rattanstandin.Faults{Outage: rattanstandin.OutageUnavailable})
	}()
	_, err = client.Watch(ctx, "", changes.Revision, 10*time.Second)
	c.Assert(err, qt.ErrorIs, rattanplatform.ErrUnavailable)
	c.Assert(platform.Counts().Kinds[rattanstandin.CallKindWatch].Total, qt.Equals, uint64(4))
}

// TestLease guards against keys that outlive their lease, and against keys that
// are deleted although their lease was renewed or they are no longer bound to
// it.
func TestLease(t *testing.T) {
	c := qt.New(t)
	_, client := newPlatform(t, rattanstandin.PlatformOptions{})
	ctx := context.Background()
	lease, err := client.GrantLease(ctx, 600*time.Millisecond)
	c.Assert(err, qt.IsNil)
	_, err = client.Put(ctx, "Leased", []byte("a"), rattanplatform.NoRevision, lease.ID)
	c.Assert(err, qt.IsNil)
	_, err = client.Put(ctx, "Unbound", []byte("a"), rattanplatform.NoRevision, lease.ID)
	c.Assert(err, qt.IsNil)
	last, err := client.Put(ctx, "Unbound", []byte("b"), rattanplatform.AnyRevision, rattanplatform.NoLease)
	c.Assert(err, qt.IsNil)
	for range 12 {
		time.Sleep(60 * time.Millisecond)
		_, err = client.RenewLease(ctx, lease.ID)
		c.Assert(err, qt.IsNil)
	}
	changes, err := client.Watch(ctx, "", last, 5*time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(changes.Entries, qt.DeepEquals, []rattanplatform.Entry{{Key: "Leased", Revision: last + 1, Deleted: true}})
	_, err = client.RenewLease(ctx, lease.ID)
	c.Assert(err, qt.ErrorIs, rattanplatform.ErrNotFound)
	_, err = client.Put(ctx, "Leased", nil, rattanplatform.AnyRevision, lease.ID)
	c.Assert(err, qt.ErrorIs, rattanplatform.ErrNotFound)
	_, err = client.GrantLease(ctx, 0)
	c.Assert(err, qt.ErrorIs, rattanplatform.ErrRejected)
}

// TestInstances guards against a change in the encoding of the instance list.
func TestInstances(t *testing.T) {
	c := qt.New(t)
	platform, client := newPlatform(t, rattanstandin.PlatformOptions{})
	want := rattanplatform.Instance{
		Name:             "buda-1",
		Address:          "127.0.0.1:9000",
		AvailabilityZone: "buda",
		Rack:             "buda-rack-1",
		Role:             rattanplatform.RoleTarget,
		Service:          "Lists",
		Slots:            8,
		Cores:            30,
		MemoryMB:         130_000,
		State:            rattanplatform.StateLeaving,
	}
	platform.SetInstances(want)
	reply, err := client.Instances(context.Background(), rattanplatform.InstanceQuery{})
	c.Assert(err, qt.IsNil)
	c.Assert(reply.Instances, qt.DeepEquals, []rattanplatform.Instance{want})
	encoded, err := json.Marshal(want)
	c.Assert(err, qt.IsNil)
	c.Assert(string(encoded), qt.Equals, `{"Name":"buda-1","Address":"127.0.0.1:9000","AvailabilityZone":"buda",`+
		`"Rack":"buda-rack-1","Role":"Target","Service":"Lists","Slots":8,"Cores":30,"MemoryMB":130000,"State":"Leaving"}`)
}

// TestConditionalInstances guards against a list that is sent again although it
// has not changed, against a conditional read that misses a change, and against
// instances of another availability zone in the response for one zone.
func TestConditionalInstances(t *testing.T) {
	c := qt.New(t)
	platform, client := newPlatform(t, rattanstandin.PlatformOptions{})
	buda := rattanplatform.Instance{Name: "a", Address: "127.0.0.1:9001", AvailabilityZone: "buda"}
	pest := rattanplatform.Instance{Name: "b", Address: "127.0.0.1:9002", AvailabilityZone: "pest"}
	platform.SetInstances(buda, pest)
	read := func(zone, etag string) rattanplatform.InstanceReply {
		reply, err := client.Instances(context.Background(), rattanplatform.InstanceQuery{AvailabilityZone: zone, ETag: etag})
		c.Assert(err, qt.IsNil)
		return reply
	}
	// The client requests compressed responses, and the platform sends them.
	first := read("buda", "")
	c.Check(first.Instances, qt.DeepEquals, []rattanplatform.Instance{buda})
	c.Check(read("", "").Instances, qt.DeepEquals, []rattanplatform.Instance{buda, pest})
	c.Check(read("csepel", "").Instances, qt.HasLen, 0)
	platform.ChangeInstances(rattanstandin.InstanceChange{Remove: []string{"b"}})
	c.Check(read("buda", first.ETag), qt.DeepEquals, rattanplatform.InstanceReply{ETag: first.ETag, NotModified: true})
	platform.ChangeInstances(rattanstandin.InstanceChange{Leave: []string{"a"}})
	second := read("buda", first.ETag)
	c.Check(second.NotModified, qt.IsFalse)
	c.Check(second.ETag, qt.Not(qt.Equals), first.ETag)
	c.Assert(second.Instances, qt.HasLen, 1)
	c.Check(second.Instances[0].State, qt.Equals, rattanplatform.StateLeaving)
	platform.SetFaults(rattanstandin.Faults{Outage: rattanstandin.OutageUnavailable})
	_, err := client.Instances(context.Background(), rattanplatform.InstanceQuery{ETag: second.ETag})
	c.Check(err, qt.ErrorIs, rattanplatform.ErrUnavailable)
}

// TestOddInstancesAreLeftOut guards against watchers that stop following the list for one odd entry.
func TestOddInstancesAreLeftOut(t *testing.T) {
	c := qt.New(t)
	const good = `{"Name":"a","Address":"127.0.0.1:9001","AvailabilityZone":"buda","Role":"Target","Slots":8,"State":"Live"}`
	odd := []string{
		"null", "7", `"text"`, "{}",
		strings.Replace(good, `"Live"`, `"Resting"`, 1),
		strings.Replace(good, `"Target"`, `"Printer"`, 1),
		strings.Replace(good, `"a"`, `""`, 1),
		strings.Replace(good, `9001`, `99999`, 1),
		strings.Replace(good, `127.0.0.1`, `127.0.0.1 `, 1),
		strings.Replace(good, `"Slots":8`, `"Slots":9223372036854775807`, 1),
		strings.Replace(good, `"Slots":8`, `"Slots":-8`, 1),
		strings.Replace(good, `"Slots":8`, `"Slots":1e400`, 1),
		strings.Replace(good, `"Slots":8`, `"Slots":`+strings.Repeat("[", 5000)+strings.Repeat("]", 5000), 1),
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "["+strings.Join(odd, ",")+","+good+"]")
	}))
	defer server.Close()
	client := rattanplatform.New(rattanplatform.Options{Address: server.Listener.Addr().String(), Timeout: time.Second})
	defer client.Close()
	reply, err := client.Instances(context.Background(), rattanplatform.InstanceQuery{})
	c.Assert(err, qt.IsNil)
	c.Check(reply.Instances, qt.HasLen, 1)
	c.Check(client.Counters.InvalidInstances.Load(), qt.Equals, uint64(len(odd)))
}
