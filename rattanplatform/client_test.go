package rattanplatform_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanplatform"
	"github.com/rattanlever/rattanlever/rattanstandin"
)

func newPlatform(t *testing.T, options rattanstandin.PlatformOptions) (*rattanstandin.Platform, *rattanplatform.Client) {
	t.Helper()
	platform, err := rattanstandin.NewPlatform(options)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(platform.Close)
	client := rattanplatform.New(rattanplatform.Options{Address: platform.Address()})
	t.Cleanup(client.Close)
	return platform, client
}

// TestCompareAndSwap guards against a write that overwrites a newer revision.
func TestCompareAndSwap(t *testing.T) {
	c := qt.New(t)
	_, client := newPlatform(t, rattanstandin.PlatformOptions{})
	ctx := context.Background()
	_, err := client.Get(ctx, "Plans/1")
	c.Assert(err, qt.ErrorIs, rattanplatform.ErrNotFound)
	first, err := client.Put(ctx, "Plans/1", []byte("a"), rattanplatform.NoRevision, rattanplatform.NoLease)
	c.Assert(err, qt.IsNil)
	_, err = client.Put(ctx, "Plans/1", []byte("b"), rattanplatform.NoRevision, rattanplatform.NoLease)
	c.Assert(err, qt.ErrorIs, rattanplatform.ErrConflict)
	second, err := client.Put(ctx, "Plans/1", []byte("b"), first, rattanplatform.NoLease)
	c.Assert(err, qt.IsNil)
	c.Assert(second > first, qt.IsTrue)
	c.Assert(client.Delete(ctx, "Plans/1", first), qt.ErrorIs, rattanplatform.ErrConflict)
	entry, err := client.Get(ctx, "Plans/1")
	c.Assert(err, qt.IsNil)
	c.Assert(entry, qt.DeepEquals, rattanplatform.Entry{Key: "Plans/1", Value: []byte("b"), Revision: second})
	c.Assert(client.Delete(ctx, "Plans/1", second), qt.IsNil)
}
