package host

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"vanillatally/io/events"
	"vanillatally/io/platform"
)

// listPollInterval is how often the list of backend servers is read from the platform. A leaving backend server must get no new
// requests after 3 s, so two reads in a row may fail.
const listPollInterval = time.Second

// backendServerList holds the latest list of backend servers from the platform.
type backendServerList struct {
	list platform.List
	log  *events.Log
	// current is replaced by each read. A stored slice never changes.
	current atomic.Pointer[[]platform.BackendServer]
	// onUpdate is called with each list that was read.
	onUpdate func([]platform.BackendServer)
	done     chan struct{}
}

func newBackendServerList(list platform.List, log *events.Log, onUpdate func([]platform.BackendServer)) *backendServerList {
	s := &backendServerList{list: list, log: log, onUpdate: onUpdate, done: make(chan struct{})}
	s.current.Store(&[]platform.BackendServer{})
	return s
}

func (s *backendServerList) get() []platform.BackendServer { return *s.current.Load() }

// run reads the list until ctx ends. While the platform is down, the last list stays in use.
func (s *backendServerList) run(ctx context.Context) error {
	defer close(s.done)
	previousFailed := false
	for {
		listed, err := s.list.BackendServers(ctx)
		if platform.IsUsable(err) {
			s.current.Store(&listed)
			s.onUpdate(listed)
		}
		if err != nil && !previousFailed && ctx.Err() == nil {
			s.log.Emit(events.ServerListReadFailed, "error", err)
		}
		previousFailed = err != nil
		// Jitter spreads the reads of the hosts over time.
		timer := time.NewTimer(listPollInterval*9/10 + rand.N(listPollInterval/5))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}
