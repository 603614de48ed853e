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
	// pullTimeout bounds one pull. It has to suffice for a full configuration of 1 MB over a slow link.
	pullTimeout = time.Second
	// maxPullTargets bounds the hosts that are asked in one round.
	maxPullTargets = 4
	// startEvery is not used; maxRetryDelay bounds the time between rounds while no configuration is known.
	startEvery = time.Second
)

// pullHint says that a host has a sequence that this host lacks.
type pullHint struct {
	host     string
	sequence uint64
	// writer gets a confirmation when the sequence is in force; it may be empty.
	writer string
}

// requestPull makes pullMissing pull. While another hint is queued it drops h, because the freshness statements repeat
// the newest sequence every second.
func (s *Service) requestPull(h pullHint) {
	select {
	case s.pullHints <- h:
	default:
	}
}

// pullMissing pulls a first configuration from a peer or reads it from the store, and then pulls the changes that pullHints
// announces.
func (s *Service) pullMissing(ctx context.Context) {
	for attempt := 0; s.Current() == nil; attempt++ {
		var h pullHint
		select {
		case h = <-s.pullHints:
		default:
		}
		if s.pullFromAny(ctx, h) || s.readStoreOnce(ctx) == nil && s.Current() != nil {
			s.sendConfirmation(ctx, h.writer)
			break
		}
		if !s.backOff(ctx, attempt) {
			return
		}
	}
	for {
		var h pullHint
		select {
		case h = <-s.pullHints:
		case <-ctx.Done():
			return
		}
		for attempt := 0; attempt < 3 && s.Sequence() < h.sequence; attempt++ {
			if s.pullFromAny(ctx, h) {
				continue
			}
			if !s.backOff(ctx, attempt) {
				return
			}
		}
		s.sendConfirmation(ctx, h.writer)
	}
}

// pullFromAny asks the host of the hint and then other hosts in random order, those of this host's region first, until one
// of them has something newer. It reports whether that was so.
func (s *Service) pullFromAny(ctx context.Context, h pullHint) bool {
	targets := s.otherHosts(func(m membership.Member) bool { return m.State != membership.Dead })
	s.mu.Lock()
	s.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	s.mu.Unlock()
	var candidates []string
	if h.host != "" && h.host != s.opts.Host {
		candidates = append(candidates, h.host)
	}
	for _, sameRegion := range []bool{true, false} {
		for _, m := range targets {
			if (m.Region == s.opts.Region) == sameRegion && m.Host != h.host {
				candidates = append(candidates, m.Host)
			}
		}
	}
	for _, host := range candidates[:min(len(candidates), maxPullTargets)] {
		if installed, err := s.pullFrom(ctx, host); err != nil {
			s.opts.Logger.Debug("pull failed", "from", host, "error", err)
		} else if installed {
			return true
		}
	}
	return false
}

// pullFrom puts in force what host has beyond this host's sequence, and reports whether there was anything.
func (s *Service) pullFrom(ctx context.Context, host string) (installed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	response, err := peers.Call[pullRequest, pullResponse](ctx, s.opts.Caller, host, KindPull, pullRequest{After: s.Sequence()})
	if err != nil {
		return false, err
	}
	if response.Full != nil {
		full, err := config.Parse(response.Full)
		if err != nil {
			return false, err
		}
		return s.install(&full, nil), nil
	}
	for _, change := range response.Changes {
		current := s.Current()
		if current == nil || change.Sequence != current.Sequence+1 {
			continue
		}
		next, err := current.WithChange(change)
		if err != nil {
			return installed, err
		}
		installed = s.install(&next, &change) || installed
	}
	return installed, nil
}

// readStoreOnce reads the store without a retry. An object that does not exist is not an error.
func (s *Service) readStoreOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	_, _, err := s.readStore(ctx)
	return err
}

// readStore returns the stored configuration and its version, and puts it in force if it is newer than the present one.
// If the object does not exist, sequence and version are 0.
func (s *Service) readStore(ctx context.Context) (config.Configuration, store.Version, error) {
	object, err := s.opts.Store.Get(ctx, config.StoreKey)
	if errors.Is(err, store.ErrNotFound) {
		return config.Configuration{}, 0, nil
	}
	if err != nil {
		return config.Configuration{}, 0, err
	}
	c, err := s.installObject(object)
	return c, object.Version, err
}

// installObject puts a stored configuration in force if it is newer than the present one.
func (s *Service) installObject(object store.Object) (config.Configuration, error) {
	c, err := config.Parse(object.Value)
	if err != nil {
		return c, errors.Wrapf(err, "object %s version %d", config.StoreKey, object.Version)
	}
	s.mu.Lock()
	s.storeVersion = max(s.storeVersion, object.Version)
	s.mu.Unlock()
	s.install(&c, nil)
	return c, nil
}

// otherHosts returns the known hosts other than this one for which match returns true.
func (s *Service) otherHosts(match func(membership.Member) bool) (found []membership.Member) {
	for _, m := range s.opts.Members.Members() {
		if m.Host != s.opts.Host && match(m) {
			found = append(found, m)
		}
	}
	return found
}
