package settings

import "math"

// The largest figures that can be meant. None of them is a limit of the program:
// beyond them times and amounts would overflow, or a unit was mistaken.
const (
	mostSeconds = 1e7 // some months
	mostRate    = 1e9
	mostAmount  = 1e9 // CPUs or GPUs of a team
	mostMB      = 1e9
	mostShare   = 1e4 // processor cores
	mostCount   = 1e9
)

// checkSane refuses figures that are negative, no number or absurdly large.
func checkSane(file *platformFile) error {
	cluster := &file.Cluster
	limits := &cluster.Limits
	for _, figure := range []struct {
		field string
		value float64
		most  float64
	}{
		{"cluster.count", float64(cluster.Count), mostCount},
		{"cluster.workers.report_s", cluster.Workers.ReportS, mostSeconds},
		{"cluster.workers.lease_s", cluster.Workers.LeaseS, mostSeconds},
		{"cluster.workers.cancel_s", cluster.Workers.CancelS, mostSeconds},
		{"cluster.state.rps", cluster.State.RPS, mostRate},
		{"cluster.state.write_rps", cluster.State.WriteRPS, mostRate},
		{"cluster.state.value_kb", cluster.State.ValueKB, mostMB},
		{"cluster.state.txn_ops", float64(cluster.State.TxnOps), mostCount},
		{"cluster.cloud.rps", cluster.Cloud.RPS, mostRate},
		{"cluster.cloud.list_lag_s", cluster.Cloud.ListLagS, mostSeconds},
		{"cluster.machine_limits.mem_mb", limits.MemoryMB, mostMB},
		{"cluster.machine_limits.max_connections", float64(limits.Connections), mostCount},
		{"cluster.machine_limits.core_share", limits.CoreShare, mostShare},
	} {
		if err := checkFigure(figure.field, figure.value, figure.most); err != nil {
			return err
		}
	}
	return nil
}

// checkFigure refuses a figure outside 0 to most; NaN is outside too.
func checkFigure(field string, value, most float64) error {
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
	return checkFigure("cluster.teams", amount, mostAmount)
}
