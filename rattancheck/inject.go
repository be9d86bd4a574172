package rattancheck

import "github.com/rattanlever/rattanlever/rattanjob"

// InjectFalseNotRun makes one answer of a job that ran say that it was not run, to
// show that the check of InvariantNotRun can fail.
func (h *History) InjectFalseNotRun() {
	h.change(func(answer *rattanjob.Answer) {
		answer.State = rattanjob.StateRefused
		answer.Execution = rattanjob.ExecutionNotRun
	})
}

// InjectMissingResult removes a result from one complete answer, to show that the check
// of InvariantCompleteResults can fail.
func (h *History) InjectMissingResult() {
	h.change(func(answer *rattanjob.Answer) {
		answer.Results = answer.Results[1:]
		answer.Detail = ""
	})
}

// change applies a change to the first answer with at least two results that
// it finds.
func (h *History) change(apply func(*rattanjob.Answer)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, record := range h.submissions {
		for i := range record.answers {
			if answer := &record.answers[i].answer; len(answer.Results) > 1 {
				apply(answer)
				return
			}
		}
	}
}
