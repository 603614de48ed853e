package host

import (
	"context"
	"iter"
	"net/netip"

	"vanillatally/core/config"
	"vanillatally/io/events"
)

// clientPrefixLoader loads the client prefixes (address blocks) of the regions into the look-up index after each change of the
// configuration.
type clientPrefixLoader struct {
	host *Host
	// changed holds at most one signal, since one load covers all earlier changes.
	changed chan struct{}
	done    chan struct{}
}

func newClientPrefixLoader(h *Host) *clientPrefixLoader {
	b := &clientPrefixLoader{host: h, changed: make(chan struct{}, 1), done: make(chan struct{})}
	h.configs.Subscribe(func(*config.Configuration) {
		select {
		case b.changed <- struct{}{}:
		default:
		}
	})
	return b
}

func (b *clientPrefixLoader) run(ctx context.Context) error {
	defer close(b.done)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.changed:
		}
		if err := b.host.lookups.LoadClientPrefixes(ctx); err != nil {
			b.host.log.Emit(events.ConfigInvalid, "error", err)
		}
		b.host.lookups.RequestUpdate()
	}
}

// all returns the client prefixes of the configuration in force with their regions.
func (b *clientPrefixLoader) all(context.Context) (iter.Seq2[netip.Prefix, string], error) {
	current := b.host.configs.Current()
	return func(yield func(netip.Prefix, string) bool) {
		if current == nil {
			return
		}
		for name, region := range current.Regions {
			for _, block := range region.Blocks {
				prefix, err := netip.ParsePrefix(block)
				if err == nil && !yield(prefix, name) {
					return
				}
			}
		}
	}, nil
}
