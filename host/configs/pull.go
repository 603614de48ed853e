package configs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/config"
	"vanillatally/core/membership"
	"vanillatally/io/peers"
	"vanillatally/io/store"
)

const (
	// pullTimeout bounds one pull; the whole configuration of 1 MB has to fit at a slow link.
	pullTimeout = time.Second
	// pullTries bounds the hosts asked in one round.
	pullTries = 4
	// startEvery bounds the time between rounds while no configuration is known.
	startEvery = time.Second
)

// hint says that a host knows a sequence that this one does not.
type hint struct {
	host     string
	sequence uint64
	// writer is told when the sequence is in force.
	writer string
}

// hint asks for a pull. While one is waiting, further hints are dropped: statements repeat them each second.
func (s *Service) hint(h hint) {
	select {
	case s.pulls <- h:
	default:
	}
}

// pull fetches what this host lacks: at the start any configuration, later what hints tell of.
func (s *Service) pull(ctx context.Context) {
	for attempt := 0; s.Current() == nil; attempt++ {
		var h hint
		select {
		case h = <-s.pulls:
		default:
		}
		if s.pullRound(ctx, h) || s.read(ctx) == nil && s.Current() != nil {
			s.report(ctx, h.writer)
			break
		}
		if !s.pause(ctx, attempt) {
			return
		}
	}
	for {
		var h hint
		select {
		case h = <-s.pulls:
		case <-ctx.Done():
			return
		}
		for attempt := 0; attempt < 3 && s.Sequence() < h.sequence; attempt++ {
			if s.pullRound(ctx, h) {
				continue
			}
			if !s.pause(ctx, attempt) {
				return
			}
		}
		s.report(ctx, h.writer)
	}
}

// pullRound asks the host of the hint and then others, those of the same region first.
func (s *Service) pullRound(ctx context.Context, h hint) bool {
	targets := s.others(func(m membership.Member) bool { return m.State != membership.Dead })
	s.mu.Lock()
	s.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	s.mu.Unlock()
	var order []string
	if h.host != "" && h.host != s.opts.Host {
		order = append(order, h.host)
	}
	for _, near := range []bool{true, false} {
		for _, m := range targets {
			if (m.Region == s.opts.Region) == near && m.Host != h.host {
				order = append(order, m.Host)
			}
		}
	}
	for _, host := range order[:min(len(order), pullTries)] {
		if took, err := s.pullFrom(ctx, host); err != nil {
			s.opts.Logger.Debug("pull failed", "from", host, "error", err)
		} else if took {
			return true
		}
	}
	return false
}

func (s *Service) pullFrom(ctx context.Context, host string) (took bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answer, err := peers.Call[pullRequest, pullAnswer](ctx, s.opts.Caller, host, KindPull, pullRequest{After: s.Sequence()})
	if err != nil {
		return false, err
	}
	if answer.Whole != nil {
		whole, err := config.Parse(answer.Whole)
		if err != nil {
			return false, err
		}
		return s.take(&whole, nil), nil
	}
	for _, change := range answer.Changes {
		current := s.Current()
		if current == nil || change.Sequence != current.Sequence+1 {
			continue
		}
		next, err := current.WithChange(change)
		if err != nil {
			return took, err
		}
		took = s.take(&next, &change) || took
	}
	return took, nil
}

// read takes the store's configuration. An object that does not exist is no error.
func (s *Service) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	_, _, err := s.readStore(ctx)
	return err
}

// readStore returns the stored configuration and its version, and takes it when it is newer.
// A configuration of sequence 0 and version 0 stands for an object that does not exist.
func (s *Service) readStore(ctx context.Context) (config.Configuration, store.Version, error) {
	object, err := s.opts.Store.Get(ctx, config.StoreKey)
	if errors.Is(err, store.ErrNotFound) {
		return config.Configuration{}, 0, nil
	}
	if err != nil {
		return config.Configuration{}, 0, err
	}
	c, err := s.takeObject(object)
	return c, object.Version, err
}

func (s *Service) takeObject(object store.Object) (config.Configuration, error) {
	c, err := config.Parse(object.Value)
	if err != nil {
		return c, errors.Wrapf(err, "object %s version %d", config.StoreKey, object.Version)
	}
	s.mu.Lock()
	s.version = max(s.version, object.Version)
	s.mu.Unlock()
	s.take(&c, nil)
	return c, nil
}

// others returns the known hosts but this one that fit.
func (s *Service) others(fits func(membership.Member) bool) (found []membership.Member) {
	for _, m := range s.opts.Members.Members() {
		if m.Host != s.opts.Host && fits(m) {
			found = append(found, m)
		}
	}
	return found
}
