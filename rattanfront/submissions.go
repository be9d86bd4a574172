package rattanfront

// submissionHistory records the submissions of a job to homes. The answer of a
// home settles the submission that it answers and no other one: a home forgets
// jobs, and another submission may arrive late.
type submissionHistory struct {
	total int
	// unsettled contains, in order of time, the homes that may have accepted the
	// job, and first the number of the first submission to them.
	unsettled []homeSubmissions
	first     int64
}

// homeSubmissions counts consecutive submissions to one home that may have accepted
// the job.
type homeSubmissions struct {
	// token is the fencing token of the home, which no other home uses.
	token int64
	count int
}

// begin records a submission with its number to the home with the fencing token.
func (h *submissionHistory) begin(token, sequence int64) {
	h.total++
	if len(h.unsettled) == 0 {
		h.first = sequence
	}
	if last := len(h.unsettled) - 1; last >= 0 && h.unsettled[last].token == token {
		h.unsettled[last].count++
		return
	}
	h.unsettled = append(h.unsettled, homeSubmissions{token: token, count: 1})
}

// settleLast records that the last submission was not accepted and will not be.
func (h *submissionHistory) settleLast() {
	last := len(h.unsettled) - 1
	h.unsettled[last].count--
	if h.unsettled[last].count == 0 {
		h.unsettled = h.unsettled[:last]
	}
}

// settleAll records that no submission was accepted and none will be.
func (h *submissionHistory) settleAll() {
	h.unsettled = nil
}

// unsettledCount returns the number of submissions that a home may have accepted.
func (h *submissionHistory) unsettledCount() int {
	count := 0
	for _, home := range h.unsettled {
		count += home.count
	}
	return count
}

// otherHomes returns the number of homes that may have accepted the job, without the
// one with the fencing token.
func (h *submissionHistory) otherHomes(token int64) int {
	others := map[int64]struct{}{}
	for _, home := range h.unsettled {
		if home.token != token {
			others[home.token] = struct{}{}
		}
	}
	return len(others)
}
