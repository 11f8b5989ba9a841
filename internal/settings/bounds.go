package settings

import "math"

// The largest figures that can be meant. None of them is a limit of the program:
// beyond them times and amounts would overflow, or a unit was mistaken.
const (
	maxSeconds   = 1e7 // some months
	maxRate      = 1e9
	maxAmount    = 1e9 // CPUs or GPUs of a team
	maxMegabytes = 1e9
	maxCPUShare  = 1e4 // processor cores
	maxCount     = 1e9
)

// checkBounds refuses figures that are negative, no number or absurdly large.
func checkBounds(file *platformFile) error {
	table := &file.Cluster
	limits := &table.Limits
	for _, figure := range []struct {
		field string
		value float64
		most  float64
	}{
		{"cluster.count", float64(table.Count), maxCount},
		{"cluster.workers.report_s", table.Workers.HeartbeatSeconds, maxSeconds},
		{"cluster.workers.lease_s", table.Workers.LeaseSeconds, maxSeconds},
		{"cluster.workers.cancel_s", table.Workers.CancelSeconds, maxSeconds},
		{"cluster.state.rps", table.State.RPS, maxRate},
		{"cluster.state.write_rps", table.State.WriteRPS, maxRate},
		{"cluster.state.value_kb", table.State.ValueKB, maxMegabytes},
		{"cluster.state.txn_ops", float64(table.State.TxnOps), maxCount},
		{"cluster.cloud.rps", table.Cloud.RPS, maxRate},
		{"cluster.cloud.list_lag_s", table.Cloud.ListLagSeconds, maxSeconds},
		{"cluster.machine_limits.mem_mb", limits.MemoryMB, maxMegabytes},
		{"cluster.machine_limits.max_connections", float64(limits.MaxConnections), maxCount},
		{"cluster.machine_limits.core_share", limits.CPUShare, maxCPUShare},
	} {
		if err := checkRange(figure.field, figure.value, figure.most); err != nil {
			return err
		}
	}
	return nil
}

// checkRange refuses a figure outside 0 to most; NaN is outside too.
func checkRange(field string, value, most float64) error {
	switch {
	case value < 0:
		return fieldErrorf(field, "%g is below 0", value)
	case math.IsNaN(value) || value > most:
		return fieldErrorf(field, "%g is no sensible figure, at most %g can be meant", value, most)
	}
	return nil
}

// checkAmount checks what a team is guaranteed or limited to.
func checkAmount(team string, amount float64) error {
	if amount < 0 {
		return fieldErrorf("cluster.teams", "%s has an amount below 0", team)
	}
	return checkRange("cluster.teams", amount, maxAmount)
}
