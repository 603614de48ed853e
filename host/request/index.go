package request

import "vanillatally/core/config"

// indexedConfiguration is a configuration with its index, kept so that each configuration is indexedConfiguration once.
type indexedConfiguration struct {
	source        *config.Configuration
	configuration config.Configuration
}

// configuration returns the configuration in force with its index, or nil before there is one.
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
