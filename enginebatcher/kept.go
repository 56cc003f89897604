package enginebatcher

// maxRetained is the number of ids for which the length of a stream is retained.
const maxRetained = 1024

// retainedStreams holds the number of generated tokens of ended streams. The engine
// resumes such a stream without generating these tokens again.
type retainedStreams struct {
	lengths map[string]int
	// order holds the ids in the order in which they were added, oldest first.
	order []string
}

// add retains the length of a stream, unless a longer one is retained for the id,
// and drops the oldest id if there are too many.
func (r *retainedStreams) add(id string, tokens int) {
	if tokens == 0 {
		return
	}
	if r.lengths == nil {
		r.lengths = map[string]int{}
	}
	if _, ok := r.lengths[id]; !ok {
		r.order = append(r.order, id)
	}
	r.lengths[id] = max(r.lengths[id], tokens)
	if len(r.order) > maxRetained {
		delete(r.lengths, r.order[0])
		r.order = r.order[1:]
	}
}
