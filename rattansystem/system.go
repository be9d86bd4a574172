// Package rattansystem starts a whole small system in one process over
// loopback: the stand-in platform, targets and entry instances of several
// availability zones, with the means to kill instances and to cut zones off.
package rattansystem

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanentry"
	"github.com/rattanlever/rattanlever/rattanlog"
	"github.com/rattanlever/rattanlever/rattanplatform"
	"github.com/rattanlever/rattanlever/rattansettings"
	"github.com/rattanlever/rattanlever/rattanstandin"
)

// ErrNotReady says that an instance did not become ready in time.
const ErrNotReady = errors.ConstError("instance not ready")

// globalLogger sets the logger of kratos once in the process.
var globalLogger sync.Once

const readyTimeout = 15 * time.Second

// Config configures a System.
type Config struct {
	// Zones are the names of the availability zones.
	Zones []string
	// EntriesPerZone is the number of entry instances of each zone.
	EntriesPerZone int
	// Fleets are the targets of each zone; the zone is filled in.
	Fleets []rattanstandin.TargetFleetOptions
	// Document is the configuration that the platform holds at the start.
	Document rattanconfig.Document
	Platform rattanstandin.PlatformOptions
	// NewScheduler replaces the product's scheduler.
	NewScheduler func() rattanentry.Scheduler
	// NewRunner replaces the client of the targets.
	NewRunner func() rattanentry.TaskRunner
	// Log receives the instances' log lines; nil discards them.
	Log io.Writer
	// AdjustSettings changes the settings of each instance.
	AdjustSettings func(settings *rattansettings.Settings)
}

// Entry is one entry instance of a System.
type Entry struct {
	Name             string
	AvailabilityZone string
	Instance         *rattanentry.Instance
	cancel           context.CancelFunc
	// Done is closed when the instance has ended.
	Done   chan struct{}
	Err    error
	killed atomic.Bool
}

// System is a running small system.
type System struct {
	Platform *rattanstandin.Platform
	Log      *rattanstandin.StartLog
	Fleets   []*rattanstandin.TargetFleet
	Network  *Network

	config Config
	logger *logrus.Logger
	peers  []rattansettings.Peer

	mutex   sync.Mutex
	entries []*Entry
}

// Start starts a system and waits until all its instances are ready.
func Start(config Config) (*System, error) {
	platform, err := rattanstandin.NewPlatform(config.Platform)
	if err != nil {
		return nil, errors.Trace(err)
	}
	system := &System{
		Platform: platform,
		Log:      rattanstandin.NewStartLog(),
		Network:  NewNetwork(),
		config:   config,
		logger:   logrus.New(),
	}
	system.logger.SetOutput(io.Discard)
	if config.Log != nil {
		system.logger.SetOutput(config.Log)
	}
	globalLogger.Do(func() { rattanlog.SetGlobal(system.logger) })
	if err := system.start(); err != nil {
		system.Close()
		return nil, err
	}
	return system, nil
}

// Addresses returns the callers' addresses of the running instances of the
// zones, or of all zones if none is given.
func (s *System) Addresses(zones ...string) []string {
	var addresses []string
	for _, entry := range s.Entries(zones...) {
		if !entry.Killed() {
			addresses = append(addresses, entry.Instance.CallerAddress())
		}
	}
	return addresses
}

// Close ends everything at once.
func (s *System) Close() {
	for _, entry := range s.Entries() {
		if !entry.Killed() {
			entry.Instance.Kill()
		}
		entry.cancel()
	}
	for _, fleet := range s.Fleets {
		fleet.Close()
	}
	s.Platform.Close()
}

// Entries returns the instances of the zones, or of all zones if none is
// given, in the order of their start.
func (s *System) Entries(zones ...string) []*Entry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []*Entry
	for _, entry := range s.entries {
		if len(zones) == 0 || slices.Contains(zones, entry.AvailabilityZone) {
			found = append(found, entry)
		}
	}
	return found
}

// Home returns the instance that owns the pool of the zone.
func (s *System) Home(zone string) *Entry {
	for _, asked := range s.Entries(zone) {
		if asked.Killed() {
			continue
		}
		owner, ok := asked.Instance.Membership.Owner(time.Now())
		if !ok {
			continue
		}
		for _, entry := range s.Entries(zone) {
			if entry.Name == owner.Incarnation.Instance && !entry.Killed() {
				return entry
			}
		}
	}
	return nil
}

// Kill ends an instance as the death of its process would.
func (s *System) Kill(entry *Entry) {
	entry.killed.Store(true)
	entry.Instance.Kill()
}

// Shutdown shuts an instance down gracefully.
func (s *System) Shutdown(entry *Entry) error {
	entry.cancel()
	<-entry.Done
	entry.killed.Store(true)
	return entry.Err
}

// StartEntry starts one more instance in the zone.
func (s *System) StartEntry(zone, name string) (*Entry, error) {
	callers, err := listen()
	if err != nil {
		return nil, errors.Trace(err)
	}
	peers, err := listen()
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.Network.Place(peers.Addr().String(), zone, name)
	return s.startEntry(zone, name, callers, peers)
}

// Starts returns the number of starts at targets by task ID.
func (s *System) Starts() map[string]int {
	return s.Log.Counts()
}

// WaitReady waits until the instances of the zones, or all, are ready and name
// the same home as the others of their zone.
func (s *System) WaitReady(zones ...string) error {
	deadline := time.Now().Add(readyTimeout)
	for _, entry := range s.Entries(zones...) {
		for !entry.Killed() && !s.ready(entry) {
			if time.Now().After(deadline) {
				return errors.WithType(errors.Errorf("instance %s: %v", entry.Name, entry.Instance.Operations.Condition(time.Now())), ErrNotReady)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// Killed reports whether the instance was killed or has shut down.
func (e *Entry) Killed() bool {
	return e.killed.Load()
}

// ready reports whether the instance serves, knows all running instances of its
// zone and names the same epoch as they do. The death of an instance that it
// never knew cannot be proved to its callers, and after a cold start two
// instances may own the pool for a moment, of which Home would name only one.
func (s *System) ready(entry *Entry) bool {
	now := time.Now()
	owner, ok := entry.Instance.Membership.Owner(now)
	if !ok || owner.Epoch.ID.Number == 0 || entry.Instance.Operations.Condition(now) != rattanentry.ConditionServing {
		return false
	}
	known := map[string]bool{}
	for _, member := range entry.Instance.Membership.Members(now) {
		known[member.Incarnation.Instance] = true
	}
	for _, other := range s.Entries(entry.AvailabilityZone) {
		if other.Killed() {
			continue
		}
		named, _ := other.Instance.Membership.Owner(now)
		if !known[other.Name] || named.Epoch.ID != owner.Epoch.ID {
			return false
		}
	}
	return true
}

func (s *System) start() error {
	if err := s.startTargets(); err != nil {
		return err
	}
	if err := s.putDocument(); err != nil {
		return err
	}
	listeners, err := s.reserve()
	if err != nil {
		return err
	}
	for _, reserved := range listeners {
		if _, err := s.startEntry(reserved.zone, reserved.name, reserved.callers, reserved.peers); err != nil {
			return err
		}
	}
	return s.WaitReady()
}

func (s *System) startTargets() error {
	for _, zone := range s.config.Zones {
		for _, options := range s.config.Fleets {
			options.AvailabilityZone = zone
			options.NamePrefix = zone + "-" + options.Service
			options.Target.Log = s.Log
			fleet, err := rattanstandin.NewTargetFleet(options)
			if err != nil {
				return errors.Trace(err)
			}
			s.Fleets = append(s.Fleets, fleet)
			s.Platform.SetInstances(fleet.Instances()...)
		}
	}
	return nil
}

func (s *System) putDocument() error {
	document := s.config.Document
	document.Revision = max(document.Revision, 1)
	value, err := json.Marshal(document)
	if err != nil {
		return errors.Trace(err)
	}
	client := rattanplatform.New(rattanplatform.Options{Address: s.Platform.Address()})
	defer client.Close()
	_, err = client.Put(context.Background(), rattanconfig.PlatformKey, value, rattanplatform.NoRevision, rattanplatform.NoLease)
	return errors.Trace(err)
}

// reservation is an instance whose listeners are open.
type reservation struct {
	zone, name     string
	callers, peers net.Listener
}

// reserve opens the listeners of all instances, so that each can be told the
// addresses of the others.
func (s *System) reserve() ([]reservation, error) {
	var reserved []reservation
	for number := range s.config.EntriesPerZone {
		for _, zone := range s.config.Zones {
			callers, err := listen()
			if err != nil {
				return nil, errors.Trace(err)
			}
			peers, err := listen()
			if err != nil {
				return nil, errors.Trace(err)
			}
			name := fmt.Sprintf("%s-entry-%d", zone, number+1)
			// An instance connects to the others as soon as it starts; a
			// connection to an address without a place would count as one to
			// another zone.
			s.Network.Place(peers.Addr().String(), zone, name)
			reserved = append(reserved, reservation{zone: zone, name: name, callers: callers, peers: peers})
			// An instance may dial one that is not started yet, and the connection
			// is cut by the zones of both.
			s.Network.Place(peers.Addr().String(), zone, name)
			s.peers = append(s.peers, rattansettings.Peer{Name: name, AvailabilityZone: zone, PeerAddress: peers.Addr().String()})
		}
	}
	return reserved, nil
}

func (s *System) startEntry(zone, name string, callers, peers net.Listener) (*Entry, error) {
	settings := rattansettings.Default()
	settings.Name = name
	settings.AvailabilityZone = zone
	settings.PlatformAddress = s.Platform.Address()
	for _, peer := range s.peers {
		if peer.Name != name {
			settings.Peers = append(settings.Peers, peer)
		}
	}
	if s.config.AdjustSettings != nil {
		s.config.AdjustSettings(&settings)
	}
	config := rattanentry.Config{
		Settings:       settings,
		Logger:         s.logger,
		NewScheduler:   s.config.NewScheduler,
		CallerListener: s.Network.Listen(name, callers),
		PeerListener:   s.Network.Listen(name, peers),
		DialPeer:       s.Network.Dial(zone, name),
		Platform: rattanplatform.New(rattanplatform.Options{
			Address: s.Platform.Address(),
			Dial:    s.Network.DialPlatform(zone, name),
		}),
	}
	if s.config.NewRunner != nil {
		config.Runner = s.config.NewRunner()
	}
	instance, err := rattanentry.New(config)
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	entry := &Entry{Name: name, AvailabilityZone: zone, Instance: instance, cancel: cancel, Done: make(chan struct{})}
	go func() {
		defer close(entry.Done)
		entry.Err = instance.Run(ctx)
	}()
	s.mutex.Lock()
	s.entries = append(s.entries, entry)
	s.mutex.Unlock()
	return entry, nil
}
