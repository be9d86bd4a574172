package rattanscheduler

// notePriority records the priority of a submission to the service.
func (state *serviceState) notePriority(priority int) {
	if state.submitted && priority != state.priority {
		state.queue.mixed = true
	}
	state.submitted, state.priority = true, priority
}
