package settings

import "math"

// The largest values that can be meant. They are no limits of the program: beyond
// them times and amounts would overflow, or a unit was mistaken.
const (
	maxSeconds   = 1e7 // some months
	maxRate      = 1e9 // requests per second
	maxAmount    = 1e9 // CPUs or GPUs of a team
	maxMegabytes = 1e9
	maxCPUShare  = 1e4 // processor cores
	maxCount     = 1e9
)

// numericField is a number in the platform's file with its bounds.
type numericField struct {
	name     string
	value    float64
	max      float64
	required bool // it has no default and must be above 0
}

// numericFields returns the numbers of the file, except those of teams and of limits
// to come.
func (f *platformFile) numericFields() []numericField {
	table := &f.Cluster
	limits := &table.Limits
	return []numericField{
		{"cluster.count", float64(table.Count), maxCount, false},
		{"cluster.workers.report_s", table.Workers.HeartbeatSeconds, maxSeconds, true},
		{"cluster.workers.lease_s", table.Workers.LeaseSeconds, maxSeconds, true},
		{"cluster.workers.cancel_s", table.Workers.CancelSeconds, maxSeconds, true},
		{"cluster.state.rps", table.State.RPS, maxRate, true},
		{"cluster.state.write_rps", table.State.WriteRPS, maxRate, true},
		{"cluster.state.value_kb", table.State.ValueKB, maxMegabytes, true},
		{"cluster.state.txn_ops", float64(table.State.TxnOps), maxCount, true},
		{"cluster.cloud.rps", table.Cloud.RPS, maxRate, true},
		{"cluster.cloud.list_lag_s", table.Cloud.ListLagSeconds, maxSeconds, false},
		{"cluster.machine_limits.mem_mb", limits.MemoryMB, maxMegabytes, false},
		{"cluster.machine_limits.max_connections", float64(limits.MaxConnections), maxCount, false},
		{"cluster.machine_limits.core_share", limits.CPUShare, maxCPUShare, false},
	}
}

// checkNumbers refuses numbers that are negative, NaN or absurdly large, and then
// required ones that are missing.
func (f *platformFile) checkNumbers() error {
	fields := f.numericFields()
	for _, field := range fields {
		if err := checkRange(field.name, field.value, field.max); err != nil {
			return err
		}
	}
	for _, field := range fields {
		if field.required && !isPositive(field.value) {
			return fieldErrorf(field.name, "missing or not above 0")
		}
	}
	return nil
}

// checkRange refuses a value outside 0 to most; NaN is outside too.
func checkRange(field string, value, most float64) error {
	switch {
	case value < 0:
		return fieldErrorf(field, "%g is below 0", value)
	case math.IsNaN(value) || value > most:
		return fieldErrorf(field, "%g is no sensible figure, at most %g can be meant", value, most)
	}
	return nil
}

// isPositive reports whether a value is finite and above 0; NaN is not.
func isPositive(value float64) bool { return value > 0 && !math.IsInf(value, 1) }
