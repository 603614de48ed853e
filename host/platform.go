package host

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"vanillatally/io/events"
	"vanillatally/io/platform"
)

// listPollInterval is how often the platform list is read. A leaving backend server must get no new work after
// 3 s, so two readings may fail.
const listPollInterval = time.Second

// backendServerList keeps the newest list of backend backendServerList that the platform showed.
type backendServerList struct {
	list platform.List
	log  *events.Log
	// current is replaced as a whole and never changed.
	current atomic.Pointer[[]platform.BackendServer]
	// onUpdate is called with each list that was read.
	onUpdate func([]platform.BackendServer)
	done     chan struct{}
}

func newBackendServerList(list platform.List, log *events.Log, onRead func([]platform.BackendServer)) *backendServerList {
	s := &backendServerList{list: list, log: log, onUpdate: onRead, done: make(chan struct{})}
	s.current.Store(&[]platform.BackendServer{})
	return s
}

func (s *backendServerList) get() []platform.BackendServer { return *s.current.Load() }

// run reads the list until ctx ends. While the platform is down the last list stays in use.
func (s *backendServerList) run(ctx context.Context) error {
	defer close(s.done)
	previousFailed := false
	for {
		listed, err := s.list.BackendServers(ctx)
		if err == nil {
			s.current.Store(&listed)
			s.onUpdate(listed)
		} else if !previousFailed && ctx.Err() == nil {
			s.log.Emit(events.ServerListReadFailed, "error", err)
		}
		previousFailed = err != nil
		// The jitter keeps the hosts from reading the list at the same time.
		timer := time.NewTimer(listPollInterval*9/10 + rand.N(listPollInterval/5))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}
