package enginebatcher

// maxKept is the number of ended runs whose generated tokens are kept.
const maxKept = 1024

// kept holds the lengths of ended streams, which the engine can resume without
// generating their tokens again.
type kept struct {
	lengths map[string]int
	// order holds the ids, oldest first.
	order []string
}

func (k *kept) add(id string, tokens int) {
	if tokens == 0 {
		return
	}
	if k.lengths == nil {
		k.lengths = map[string]int{}
	}
	if _, ok := k.lengths[id]; !ok {
		k.order = append(k.order, id)
	}
	k.lengths[id] = max(k.lengths[id], tokens)
	if len(k.order) > maxKept {
		delete(k.lengths, k.order[0])
		k.order = k.order[1:]
	}
}
