package settings

import (
	"fmt"
	"math"
	"net"
	"slices"

	"stairrelay/internal/cluster"

	"stairrelay/internal/ownership"
	"stairrelay/internal/sockets"
)

const (
	// minTxnOps and leastValueKB are the smallest limits of the state service
	// that the records can be cut to.
	minTxnOps  = 4
	minValueKB = 2
	bytesPerKB = 1024
	// maxValueKB is the largest value that fits into a transaction beside its key
	// and conditions: the protocol takes 64 KiB overall. A larger limit of the
	// state service is of no use.
	maxValueKB = 60
	// connectionWarningThreshold is the number of sockets below which a controller serves
	// so few workers and users that its operators should know.
	connectionWarningThreshold = 256
)

// parsePlatform reads and checks the platform's file.
func parsePlatform(text []byte) (*Settings, error) {
	file, err := decodePlatform(text)
	if err != nil {
		return nil, err
	}
	settings := &Settings{
		ListenAddress:     file.Listen,
		PeerListenAddress: file.Back,
		CloudAddress:      file.External.Cloud,
		StoreAddress:      file.External.State,
		MemoryMB:          file.Cluster.Limits.MemoryMB,
		MaxConnections:    file.Cluster.Limits.MaxConnections,
		CPUShare:          file.Cluster.Limits.CPUShare,
	}
	steps := []func(*platformFile) error{
		settings.readNodes,
		checkAddresses,
		checkBounds,
		checkRequiredAmounts,
		settings.readStateLimits,
		settings.readCloudLimits,
		checkNodeCount,
		settings.readTeams,
		settings.readSLOs,
		settings.readWorkerTimes,
		settings.checkMachineLimits,
	}
	for _, step := range steps {
		if err := step(file); err != nil {
			return nil, err
		}
	}
	return settings, nil
}

// readNodes takes in this controller's name and the other controllers.
func (s *Settings) readNodes(file *platformFile) error {
	if file.HostName == "" {
		return fieldErrorf("host_name", "missing")
	}
	s.Controller.Self = cluster.NodeID(file.HostName)
	s.Controller.Zone = file.Domain
	s.Controller.Nodes = []cluster.NodeID{s.Controller.Self}
	s.PeerAddresses = map[cluster.NodeID]string{}
	for _, peer := range file.Peers {
		node := cluster.NodeID(peer.HostName)
		if node == "" || slices.Contains(s.Controller.Nodes, node) {
			return fieldErrorf("peers.host_name", "%q is missing, repeated or this controller's own", peer.HostName)
		}
		s.PeerAddresses[node] = peer.Endpoint
		s.Controller.Nodes = append(s.Controller.Nodes, node)
	}
	slices.Sort(s.Controller.Nodes)
	return nil
}

func checkAddresses(file *platformFile) error {
	type namedAddress struct{ field, address string }
	addresses := []namedAddress{
		{"listen", file.Listen},
		{"back", file.Back},
		{"external.cloud", file.External.Cloud},
		{"external.state", file.External.State},
	}
	for _, peer := range file.Peers {
		addresses = append(addresses, namedAddress{"peers.endpoint", peer.Endpoint})
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return fieldErrorf(a.field, "%q is not an address with a port", a.address)
		}
	}
	return nil
}

// checkRequiredAmounts checks the figures that have no default.
func checkRequiredAmounts(file *platformFile) error {
	table := &file.Cluster
	for _, required := range []struct {
		field string
		value float64
	}{
		{"cluster.workers.report_s", table.Workers.HeartbeatSeconds},
		{"cluster.workers.lease_s", table.Workers.LeaseSeconds},
		{"cluster.workers.cancel_s", table.Workers.CancelSeconds},
		{"cluster.state.rps", table.State.RPS},
		{"cluster.state.write_rps", table.State.WriteRPS},
		{"cluster.state.value_kb", table.State.ValueKB},
		{"cluster.state.txn_ops", float64(table.State.TxnOps)},
		{"cluster.cloud.rps", table.Cloud.RPS},
	} {
		if !isPositive(required.value) {
			return fieldErrorf(required.field, "missing or not above 0")
		}
	}
	return nil
}

// isPositive tells whether x is a finite number above 0; NaN is not.
func isPositive(x float64) bool { return x > 0 && !math.IsInf(x, 1) }

// readStateLimits takes in the limits of the state service. Those to come hold
// without notice from some moment on, so the lower of both holds all the time,
// but for the rate of changes: the present one may be used until it is refused.
func (s *Settings) readStateLimits(file *platformFile) error {
	state := file.Cluster.State
	s.Controller.CurrentWriteRPS = state.WriteRPS
	if state.Next != nil {
		if err := checkNextState(state.Next); err != nil {
			return err
		}
		state.WriteRPS = lowerLimit(state.WriteRPS, state.Next.WriteRPS)
		state.ValueKB = lowerLimit(state.ValueKB, state.Next.ValueKB)
		state.TxnOps = lowerLimit(state.TxnOps, state.Next.TxnOps)
	}
	if state.TxnOps < minTxnOps || state.ValueKB < minValueKB {
		return fieldErrorf("cluster.state",
			"txn_ops below %d or value_kb below %d, now or next, is more than the records can be cut to",
			minTxnOps, minValueKB)
	}
	s.Controller.StoreRPS = state.RPS
	s.Controller.WriteRPS = state.WriteRPS
	s.Controller.MaxValueBytes = int(min(state.ValueKB, maxValueKB) * bytesPerKB)
	s.Controller.MaxTxnOps = state.TxnOps
	return nil
}

func checkNextState(next *nextStateTable) error {
	if next.WriteRPS != nil && !isPositive(*next.WriteRPS) {
		return fieldErrorf("cluster.state.next.write_rps", "not above 0")
	}
	if next.ValueKB != nil && !isPositive(*next.ValueKB) {
		return fieldErrorf("cluster.state.next.value_kb", "not above 0")
	}
	if next.TxnOps != nil && *next.TxnOps <= 0 {
		return fieldErrorf("cluster.state.next.txn_ops", "not above 0")
	}
	return nil
}

// lowerLimit is the lower of a present limit and one to come, if there is one.
func lowerLimit[T int | float64](now T, next *T) T {
	if next == nil {
		return now
	}
	return min(now, *next)
}

func (s *Settings) readCloudLimits(file *platformFile) error {
	cloud := file.Cluster.Cloud
	if cloud.ListLagSeconds < 0 {
		return fieldErrorf("cluster.cloud.list_lag_s", "below 0")
	}
	s.Controller.CloudRPS = cloud.RPS
	s.Controller.CloudListLag = seconds(cloud.ListLagSeconds)
	return nil
}

func checkNodeCount(file *platformFile) error {
	if len(file.Cluster.Teams) == 0 {
		return fieldErrorf("cluster.teams", "missing")
	}
	named := len(file.Peers) + 1
	if stated := file.Cluster.Count; stated != 0 && stated != named {
		return fieldErrorf("cluster.count", "%d, but peers and this controller make %d", stated, named)
	}
	return nil
}

func (s *Settings) readTeams(file *platformFile) error {
	seen := map[string]bool{}
	for _, table := range file.Cluster.Teams {
		if table.Name == "" || seen[table.Name] {
			return fieldErrorf("cluster.teams.name", "%q is missing or repeated", table.Name)
		}
		seen[table.Name] = true
		for _, amount := range []float64{table.CPUs, table.GPUs, table.CPUsMax, table.GPUsMax} {
			if err := checkAmount(table.Name, amount); err != nil {
				return err
			}
		}
		team := newTeam(table)
		if team.QuotaLimit.CPU < team.GuaranteedQuota.CPU || team.QuotaLimit.GPU < team.GuaranteedQuota.GPU {
			s.warnf("cluster.teams: %s is guaranteed more than its limit; the limit holds", team.Name)
		}
		s.Controller.Teams = append(s.Controller.Teams, team)
	}
	return nil
}

func newTeam(table teamTable) cluster.Team {
	return cluster.Team{
		Name:            table.Name,
		GuaranteedQuota: cluster.Resources{CPU: cluster.FloorAmount(table.CPUs), GPU: cluster.FloorAmount(table.GPUs)},
		QuotaLimit:      cluster.Resources{CPU: quotaLimit(table.CPUsMax), GPU: quotaLimit(table.GPUsMax)},
	}
}

// quotaLimit reads a team's limit, where 0 means none: the team may use all there
// is. Read as nothing at all, every job of such a team would get 422.
func quotaLimit(most float64) cluster.Amount {
	if most == 0 {
		return cluster.NoLimit
	}
	return cluster.FloorAmount(most)
}

func (s *Settings) readSLOs(file *platformFile) error {
	for _, table := range file.Cluster.SLOs {
		s.Controller.SLOs = append(s.Controller.SLOs, cluster.SLO(table))
	}
	return nil
}

func (s *Settings) readWorkerTimes(file *platformFile) error {
	workers := file.Cluster.Workers
	s.Controller.HeartbeatInterval = seconds(workers.HeartbeatSeconds)
	s.Controller.WorkerLease = seconds(workers.LeaseSeconds)
	s.Controller.CancelDeadline = seconds(workers.CancelSeconds)
	bound := ownership.AnswerWindow(s.Controller.CancelDeadline, s.Controller.WorkerLease)
	if bound >= ownership.MinAnswerWindow {
		return nil
	}
	// The entitlement grows by a little less than a second for each second of
	// cancel_s, so somewhat more than what is missing is needed.
	const margin = 1.01
	missing := float64(ownership.MinAnswerWindow-bound) / nanosPerSecond
	enough := math.Ceil(workers.CancelSeconds + missing*margin)
	s.warnf("cluster.workers: with lease_s %g a cancel_s of %g leaves a cut-off controller %.2f s to notice that it was succeeded, of %g that it needs; "+
		"in an outage of the state service a cancelled task may run on past cancel_s. A cancel_s of %g would do",
		workers.LeaseSeconds, workers.CancelSeconds, float64(bound)/nanosPerSecond, float64(ownership.MinAnswerWindow)/nanosPerSecond, enough)
	return nil
}

func (s *Settings) checkMachineLimits(*platformFile) error {
	if s.MaxConnections > 0 && s.MaxConnections < connectionWarningThreshold {
		plan := sockets.NewBudget(s.MaxConnections, len(s.PeerAddresses))
		s.warnf("cluster.machine_limits.max_connections: %d serves about %d workers and users at once", s.MaxConnections, plan.Inbound)
	}
	return nil
}

func (s *Settings) warnf(format string, args ...any) {
	s.Warnings = append(s.Warnings, fmt.Sprintf(format, args...))
}
