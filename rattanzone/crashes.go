package rattanzone

import (
	"context"
	"time"

	"github.com/rattanlever/rattanlever/rattancrash"
)

const (
	// crashSaveInterval is the interval at which a home saves a crash history
	// that has changed, crashLoadInterval the one at which an instance that has
	// started tries to load it.
	crashSaveInterval = 1 * time.Second
	crashLoadInterval = 200 * time.Millisecond
	// maxSavedLosses bounds the size of a saved crash history.
	maxSavedLosses = 2000
	// maxSentLosses bounds the number of losses in one heartbeat.
	maxSentLosses = 200
)

// CrashStore keeps the crash histories of instances.
type CrashStore interface {
	Save(ctx context.Context, instance string, losses []rattancrash.Loss, now time.Time) error
	Load(ctx context.Context, now time.Time) ([]rattancrash.Loss, error)
}

// crashLoop loads the saved crash histories, and saves that of this instance
// after changes while it is a home.
func (a *Agent) crashLoop() {
	loaded, failing := false, false
	saved := a.config.Crashes.Sequence()
	for a.ctx.Err() == nil {
		wait := crashSaveInterval
		var err error
		if !loaded {
			err = a.loadCrashes()
			loaded = err == nil
		}
		if !loaded {
			wait = crashLoadInterval
		}
		sequence := a.config.Crashes.Sequence()
		if loaded && sequence != saved && a.LocalHome() != nil {
			if err = a.saveCrashes(); err == nil {
				saved = sequence
			}
		}
		if err != nil && !failing && a.ctx.Err() == nil {
			a.config.Journal.CrashStoreFailed(err)
		}
		failing = err != nil
		select {
		case <-a.ctx.Done():
		case <-time.After(wait):
		}
	}
}

// loadCrashes merges the saved crash histories.
func (a *Agent) loadCrashes() error {
	losses, err := a.config.CrashStore.Load(a.ctx, a.config.Clock())
	if err != nil {
		return err
	}
	a.config.Crashes.Merge(losses, a.config.Clock())
	return nil
}

func (a *Agent) saveCrashes() error {
	now := a.config.Clock()
	return a.config.CrashStore.Save(a.ctx, a.config.Self.Name, a.config.Crashes.Latest(maxSavedLosses, now), now)
}

// memberAt returns the name of the member with the address, or "".
func (a *Agent) memberAt(address string) string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for name, m := range a.members {
		if m.Address == address {
			return name
		}
	}
	return ""
}

// viewFor returns the view for a member, with the changes of the crash history
// and of the cancellations that the member has not merged yet. A member of another zone does not need the
// kept and overdue targets of this zone.
func (a *Agent) viewFor(receiver string) View {
	view := a.view()
	now := a.config.Clock()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if m, ok := a.members[receiver]; ok {
		if m.Zone != a.config.Self.Zone {
			view.KeptTargets, view.OverdueTargets, view.SlowTargets = nil, nil, nil
		}
		view.CrashBase = m.crashesSeen
		view.Crashes, view.CrashSequence = a.config.Crashes.Changes(m.crashesSeen, maxSentLosses, now)
		view.CrashesMerged = m.crashesMerged
		view.Cancellations = a.cancellationUpdate(m, now)
		view.KeptStarts = a.keptForHome(m, now)
	}
	return view
}

// mergeCrashes merges the crash history of the sender of a view. The caller
// holds the mutex.
func (a *Agent) mergeCrashes(view *View, now time.Time) {
	m, ok := a.members[view.Sender.Name]
	if !ok || m.Incarnation != view.Sender.Incarnation {
		return
	}
	a.config.Crashes.Merge(view.Crashes, now)
	// A receiver that has restarted lacks the changes up to the base.
	if view.CrashBase <= m.crashesMerged {
		m.crashesMerged = max(m.crashesMerged, view.CrashSequence)
	}
	// The sender may have restarted and lost what it had merged.
	m.crashesSeen = view.CrashesMerged
}
