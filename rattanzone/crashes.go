package rattanzone

import "time"

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
// that the member has not merged yet.
func (a *Agent) viewFor(receiver string) View {
	view := a.view()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if m, ok := a.members[receiver]; ok {
		view.CrashBase = m.crashesSeen
		view.Crashes, view.CrashSequence = a.config.Crashes.Changes(m.crashesSeen, a.config.Clock())
		view.CrashesMerged = m.crashesMerged
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
