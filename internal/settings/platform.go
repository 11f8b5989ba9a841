package settings

import (
	"fmt"

	"stairrelay/internal/sockets"
)

// connectionWarningThreshold is the value of max_connections below which operators are
// warned that only a few workers and users can be connected at the same time.
const connectionWarningThreshold = 256

// parsePlatform decodes and validates the text of the platform file.
func parsePlatform(text []byte) (*Settings, error) {
	file, err := decodePlatform(text)
	if err != nil {
		return nil, err
	}
	if err := file.check(); err != nil {
		return nil, err
	}
	settings := &Settings{
		ListenAddress:     file.Listen,
		PeerListenAddress: file.PeerListen,
		CloudAddress:      file.External.Cloud,
		StoreAddress:      file.External.Store,
		MemoryMB:          file.Cluster.Limits.MemoryMB,
		MaxConnections:    file.Cluster.Limits.MaxConnections,
		CPUShare:          file.Cluster.Limits.CPUShare,
	}
	settings.setNodes(file)
	settings.setStoreLimits(&file.Cluster.Store)
	settings.setCloudLimits(&file.Cluster.Cloud)
	settings.setTeams(file.Cluster.Teams)
	settings.setSLOs(file.Cluster.SLOs)
	settings.setWorkerTimes(&file.Cluster.Workers)
	settings.warnOfFewConnections()
	return settings, nil
}

// check returns the first problem of the file as a *FieldError. The order of the checks
// determines which of several problems is reported.
func (f *platformFile) check() error {
	checks := []func() error{
		f.checkNodeNames,
		f.checkAddresses,
		f.checkNumbers,
		f.Cluster.Store.check,
		f.checkTeamsPresent,
		f.checkNodeCount,
		f.checkTeams,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// warnOfFewConnections adds a warning if max_connections is so low that workers and
// users may be unable to connect.
func (s *Settings) warnOfFewConnections() {
	if s.MaxConnections <= 0 || s.MaxConnections >= connectionWarningThreshold {
		return
	}
	budget := sockets.NewBudget(s.MaxConnections, len(s.PeerAddresses))
	s.warnf("cluster.machine_limits.max_connections: with %d connections, only about %d workers and users can be connected at the same time", s.MaxConnections, budget.MaxInboundConnections)
}

func (s *Settings) warnf(format string, args ...any) {
	s.Warnings = append(s.Warnings, fmt.Sprintf(format, args...))
}
