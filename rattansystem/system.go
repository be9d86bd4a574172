// Package rattansystem runs a complete small system in one process over loopback: a
// simulated platform, simulated targets, and entry instances in several availability
// zones. It can kill instances and simulate network faults.
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

// ErrNotReady is returned when an instance does not become ready in time.
const ErrNotReady = errors.ConstError("instance not ready")

// globalLoggerOnce sets kratos's global logger once per process.
var globalLoggerOnce sync.Once

const readyTimeout = 15 * time.Second

// Config is the configuration of a System.
type Config struct {
	// Zones are the names of the availability zones.
	Zones []string
	// EntriesPerZone is the number of entry instances in each zone.
	EntriesPerZone int
	// Fleets are the target fleets of each zone. Their availability zone, name
	// prefix and start log are overwritten.
	Fleets []rattanstandin.TargetFleetOptions
	// Document is the initial configuration in the platform.
	Document rattanconfig.Document
	// Platform configures the simulated platform.
	Platform rattanstandin.PlatformOptions
	// NewScheduler, if not nil, replaces the default scheduler of each instance.
	NewScheduler func() rattanentry.Scheduler
	// NewRunner, if not nil, replaces the default task runner of each instance.
	NewRunner func() rattanentry.TaskRunner
	// Log receives the log output of the instances; nil discards it.
	Log io.Writer
	// AdjustSettings, if not nil, modifies the settings of each instance.
	AdjustSettings func(settings *rattansettings.Settings)
}

// Entry is one entry instance of a System.
type Entry struct {
	Name             string
	AvailabilityZone string
	Instance         *rattanentry.Instance
	cancel           context.CancelFunc
	// Done is closed when the instance has ended. Err is the error of its run and
	// is set before Done is closed.
	Done   chan struct{}
	Err    error
	killed atomic.Bool
}

// System is a running system.
type System struct {
	Platform *rattanstandin.Platform
	StartLog *rattanstandin.StartLog
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
		StartLog: rattanstandin.NewStartLog(),
		Network:  NewNetwork(),
		config:   config,
		logger:   logrus.New(),
	}
	system.logger.SetOutput(io.Discard)
	if config.Log != nil {
		system.logger.SetOutput(config.Log)
	}
	globalLoggerOnce.Do(func() { rattanlog.SetGlobal(system.logger) })
	if err := system.start(); err != nil {
		system.Close()
		return nil, err
	}
	return system, nil
}

// Addresses returns the caller addresses of the running instances in the given
// zones, or in all zones if none is given.
func (s *System) Addresses(zones ...string) []string {
	var addresses []string
	for _, entry := range s.Entries(zones...) {
		if !entry.Killed() {
			addresses = append(addresses, entry.Instance.CallerAddress())
		}
	}
	return addresses
}

// Close kills all instances and stops the targets and the platform.
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

// Entries returns the instances in the given zones, or in all zones if none is
// given, in the order in which they were started. It includes killed instances.
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

// Home returns the running instance that owns the pool of the zone, or nil.
func (s *System) Home(zone string) *Entry {
	for _, observer := range s.Entries(zone) {
		if observer.Killed() {
			continue
		}
		owner, ok := observer.Instance.Membership.Owner(time.Now())
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

// Kill stops an instance without a graceful shutdown, as if its process were killed.
func (s *System) Kill(entry *Entry) {
	entry.killed.Store(true)
	entry.Instance.Kill()
}

// Shutdown shuts down an instance gracefully and returns the error of its run.
func (s *System) Shutdown(entry *Entry) error {
	entry.cancel()
	<-entry.Done
	entry.killed.Store(true)
	return entry.Err
}

// StartEntry starts an additional instance in the zone.
func (s *System) StartEntry(zone, name string) (*Entry, error) {
	callerListener, err := listen()
	if err != nil {
		return nil, errors.Trace(err)
	}
	peerListener, err := listen()
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.Network.RegisterAddress(peerListener.Addr().String(), zone, name)
	return s.startEntry(zone, name, callerListener, peerListener)
}

// StartsPerTask returns the number of starts of each task, by task ID.
func (s *System) StartsPerTask() map[string]int {
	return s.StartLog.StartsPerTask()
}

// WaitReady waits until the instances in the given zones, or in all zones if none is
// given, are ready and agree on the home of their zone.
func (s *System) WaitReady(zones ...string) error {
	deadline := time.Now().Add(readyTimeout)
	for _, entry := range s.Entries(zones...) {
		for !entry.Killed() && !s.isReady(entry) {
			if time.Now().After(deadline) {
				return errors.WithType(errors.Errorf("instance %s is not ready: %v", entry.Name, entry.Instance.Operations.Condition(time.Now())), ErrNotReady)
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

// isReady reports whether the instance serves, knows all running instances of its
// zone, and agrees with them on the epoch of the pool owner. An instance cannot
// prove to its callers that an instance it never knew has ended. After a cold start
// two instances may briefly own the pool, and Home would return only one of them.
func (s *System) isReady(entry *Entry) bool {
	now := time.Now()
	owner, ok := entry.Instance.Membership.Owner(now)
	if !ok || owner.Epoch.ID.Number == 0 || entry.Instance.Operations.Condition(now) != rattanentry.ConditionServing {
		return false
	}
	knownNames := map[string]bool{}
	for _, member := range entry.Instance.Membership.Members(now) {
		knownNames[member.Incarnation.Instance] = true
	}
	for _, other := range s.Entries(entry.AvailabilityZone) {
		if other.Killed() {
			continue
		}
		otherOwner, _ := other.Instance.Membership.Owner(now)
		if !knownNames[other.Name] || otherOwner.Epoch.ID != owner.Epoch.ID {
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
	pendingEntries, err := s.openListeners()
	if err != nil {
		return err
	}
	for _, pending := range pendingEntries {
		if _, err := s.startEntry(pending.zone, pending.name, pending.callerListener, pending.peerListener); err != nil {
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
			options.Target.Log = s.StartLog
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

// pendingEntry is an instance that is not started yet but whose listeners are open.
type pendingEntry struct {
	zone, name                   string
	callerListener, peerListener net.Listener
}

// openListeners opens the listeners of all instances before any of them starts, so
// that each instance can be configured with the addresses of its peers.
func (s *System) openListeners() ([]pendingEntry, error) {
	var pending []pendingEntry
	for number := range s.config.EntriesPerZone {
		for _, zone := range s.config.Zones {
			callerListener, err := listen()
			if err != nil {
				return nil, errors.Trace(err)
			}
			peerListener, err := listen()
			if err != nil {
				return nil, errors.Trace(err)
			}
			name := fmt.Sprintf("%s-entry-%d", zone, number+1)
			// An instance connects to its peers as soon as it starts. A connection
			// to an unregistered address would count as one to another zone.
			s.Network.RegisterAddress(peerListener.Addr().String(), zone, name)
			pending = append(pending, pendingEntry{zone: zone, name: name, callerListener: callerListener, peerListener: peerListener})
			// An instance may dial a peer that is not started yet. Partitions apply
			// to that connection by the zones of both ends.
			s.Network.RegisterAddress(peerListener.Addr().String(), zone, name)
			s.peers = append(s.peers, rattansettings.Peer{Name: name, AvailabilityZone: zone, PeerAddress: peerListener.Addr().String()})
		}
	}
	return pending, nil
}

func (s *System) startEntry(zone, name string, callerListener, peerListener net.Listener) (*Entry, error) {
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
		CallerListener: s.Network.WrapListener(name, callerListener),
		PeerListener:   s.Network.WrapListener(name, peerListener),
		DialPeer:       s.Network.PeerDialer(zone, name),
		Platform: rattanplatform.New(rattanplatform.Options{
			Address: s.Platform.Address(),
			Dial:    s.Network.PlatformDialer(zone, name),
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
