package daemon

// PendingReplies maps the ids of requests in flight at a core to the callbacks for their
// replies. Only the event loop that owns the core may use it.
type PendingReplies[ID ~uint64, Reply any] struct {
	lastID    ID
	callbacks map[ID]func(Reply)
}

// Register returns the id of a new request; its reply is passed to callback.
func (r *PendingReplies[ID, Reply]) Register(callback func(Reply)) ID {
	if r.callbacks == nil {
		r.callbacks = map[ID]func(Reply){}
	}
	r.lastID++
	r.callbacks[r.lastID] = callback
	return r.lastID
}

// Deliver passes a reply to the callback of its request. Invariant: each callback is called at
// most once; later replies and replies to unknown requests are dropped.
func (r *PendingReplies[ID, Reply]) Deliver(request ID, reply Reply) {
	callback, registered := r.callbacks[request]
	if !registered {
		return
	}
	delete(r.callbacks, request)
	callback(reply)
}
