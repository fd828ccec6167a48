package emul

// SetStopsLost starts or ends the loss of all stops that are sent to the endpoint.
func (e *Endpoint) SetStopsLost(lost bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopsLost = lost
}

func (e *Endpoint) losesStops() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopsLost
}
