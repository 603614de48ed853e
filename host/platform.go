package host

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"vanillatally/io/events"
	"vanillatally/io/platform"
)

// listInterval is how often the platform list is read. A leaving backend server must get no new work after
// 3 s, so two readings may fail.
const listInterval = time.Second

// servers keeps the newest list of backend servers that the platform showed.
type servers struct {
	list platform.List
	log  *events.Log
	// known is replaced as a whole and never changed.
	known atomic.Pointer[[]platform.BackendServer]
	// onRead is called with each list that was read.
	onRead func([]platform.BackendServer)
	done   chan struct{}
}

func newServers(list platform.List, log *events.Log, onRead func([]platform.BackendServer)) *servers {
	s := &servers{list: list, log: log, onRead: onRead, done: make(chan struct{})}
	s.known.Store(&[]platform.BackendServer{})
	return s
}

func (s *servers) get() []platform.BackendServer { return *s.known.Load() }

// run reads the list until ctx ends. While the platform is down the last list stays in use.
func (s *servers) run(ctx context.Context) error {
	defer close(s.done)
	failing := false
	for {
		found, err := s.list.BackendServers(ctx)
		if err == nil {
			s.known.Store(&found)
			s.onRead(found)
		} else if !failing && ctx.Err() == nil {
			s.log.Emit(events.ServerListReadFailed, "error", err)
		}
		failing = err != nil
		// The jitter keeps the hosts from reading the list at the same time.
		timer := time.NewTimer(listInterval*9/10 + rand.N(listInterval/5))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}
