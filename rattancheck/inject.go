package rattancheck

import "github.com/rattanlever/rattanlever/rattanjob"

// InjectFalseNotRun changes an answer of a job that ran to state that the job
// was not run, to verify that the check of InvariantNotRun detects this.
func (h *History) InjectFalseNotRun() {
	h.changeAnswer(func(answer *rattanjob.Answer) {
		answer.State = rattanjob.StateRefused
		answer.Execution = rattanjob.ExecutionNotRun
	})
}

// InjectMissingResult removes a result from a complete answer, to verify that
// the check of InvariantCompleteResults detects this.
func (h *History) InjectMissingResult() {
	h.changeAnswer(func(answer *rattanjob.Answer) {
		answer.Results = answer.Results[1:]
		answer.Detail = ""
	})
}

// changeAnswer applies a change to the first answer found that has at least two
// results.
func (h *History) changeAnswer(change func(*rattanjob.Answer)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, record := range h.records {
		for i := range record.answers {
			if answer := &record.answers[i].answer; len(answer.Results) > 1 {
				change(answer)
				return
			}
		}
	}
}
