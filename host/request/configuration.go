package request

import "vanillatally/core/config"

// indexedConfiguration caches a configuration with its index, so that each configuration is indexed only once.
type indexedConfiguration struct {
	source        *config.Configuration
	configuration config.Configuration
}

// configuration returns the indexed configuration in force, or nil before there is one.
func (s *Service) configuration() *config.Configuration {
	source := s.options.Configuration()
	if source == nil {
		return nil
	}
	current := s.indexed.Load()
	if current == nil || current.source != source {
		current = &indexedConfiguration{source: source, configuration: source.WithIndex()}
		s.indexed.Store(current)
	}
	return &current.configuration
}
