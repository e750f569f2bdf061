package daemon

// PendingReplies routes what a core answers to whoever asked. The loop that owns the core alone
// uses it.
type PendingReplies[ID ~uint64, Reply any] struct {
	last    ID
	waiting map[ID]func(Reply)
}

// Register returns the number of a new request, whose answer goes to reply.
func (r *PendingReplies[ID, Reply]) Register(reply func(Reply)) ID {
	if r.waiting == nil {
		r.waiting = map[ID]func(Reply){}
	}
	r.last++
	r.waiting[r.last] = reply
	return r.last
}

// Deliver hands an answer to whoever expects it. Invariant: a request is answered once; what
// comes after that goes nowhere.
func (r *PendingReplies[ID, Reply]) Deliver(request ID, answer Reply) {
	reply, expected := r.waiting[request]
	if !expected {
		return
	}
	delete(r.waiting, request)
	reply(answer)
}
