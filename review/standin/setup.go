package main

import "time"

// plainWork is how long requests of each kind run at an engine.
var plainWork = map[string]time.Duration{
	"/pickup/": 60 * time.Millisecond, "/stock/": 60 * time.Millisecond, "/report-in/": 6 * time.Second,
	streamPrefix: 11 * time.Second,
}

// setUp starts the store's content, engines and routers of a case.
func (s *stage) setUp(engines, routers, memoryMB, extraRoutes int) error {
	if err := s.writeConfig(extraRoutes); err != nil {
		return err
	}
	if err := s.addEngines(engines, bookingService, plainWork); err != nil {
		return err
	}
	return s.startRouters(routers, memoryMB)
}
