package rattannode

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattansite"
	"github.com/rattanlever/rattanlever/rattanwork"
	"github.com/rattanlever/rattanlever/rattanzone"
)

// TestDesiredStateComesPastSilentConnections guards against a change that is not in force in time.
func TestDesiredStateComesPastSilentConnections(t *testing.T) {
	const maxDelay = 2 * time.Second
	c := qt.New(t)
	store, err := rattansite.NewStore()
	c.Assert(err, qt.IsNil)
	defer store.Close()
	put := func(version int) {
		c.Assert(store.PutDesiredState(rattansite.DesiredState{Version: version, Service: "s", Host: "h", Prefixes: []string{"/q/"}}), qt.IsNil)
	}
	put(1)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	client := platform.NewStore(store.Address())
	source := &platform.DesiredStateSource{Store: client}
	watcher := rattanzone.NewDesiredStateWatcher(rattanzone.DesiredStateConfig{
		Source: source, Parse: platform.ParseDesiredState, Journal: NewJournal(logger, rattanmetric.New()), Clock: time.Now,
	})
	c.Assert(watcher.Start(context.Background()), qt.IsNil)
	defer func() { _ = watcher.Stop(context.Background()) }()
	awaitVersion(c, watcher, 1)
	// Concurrent calls leave several idle connections.
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			_, err := source.WaitForChange(context.Background(), rattanwork.OperatorState{Revision: 1 << 40}, 50*time.Millisecond)
			c.Check(err, qt.IsNil)
		})
	}
	group.Wait()
	store.SilenceConnections()
	put(2)
	changedAt := time.Now()
	awaitVersion(c, watcher, 2)
	c.Check(time.Since(changedAt) < maxDelay, qt.IsTrue, qt.Commentf("%s", time.Since(changedAt)))
}

// awaitVersion returns once the watcher has a version.
func awaitVersion(c *qt.C, watcher *rattanzone.DesiredStateWatcher, version int64) {
	deadline := time.Now().Add(10 * time.Second)
	for watcher.Version() != version {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("version %d", version))
		time.Sleep(5 * time.Millisecond)
	}
}
