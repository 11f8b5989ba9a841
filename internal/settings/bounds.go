package settings

import "math"

// Upper bounds of the numbers in the platform file. A larger value would overflow when
// it is converted, or is probably in the wrong unit.
const (
	maxSeconds  = 1e7 // about 116 days
	maxRate     = 1e9 // requests per second
	maxQuota    = 1e9 // CPUs or GPUs
	maxSize     = 1e9 // in the unit of the field, MB or KB
	maxCPUShare = 1e4 // CPU cores
	maxCount    = 1e9
)

// numericField is a numeric field of the platform file with its bounds.
type numericField struct {
	name     string
	value    float64
	max      float64
	required bool // has no default and must be greater than 0
}

// numericFields returns the numeric fields of the file, except those of objectives, which
// have no bounds, and those of teams and of cluster.state.next, which have their own
// checks.
func (f *platformFile) numericFields() []numericField {
	table := &f.Cluster
	limits := &table.Limits
	return []numericField{
		{"cluster.count", float64(table.Count), maxCount, false},
		{"cluster.workers.report_s", table.Workers.HeartbeatSeconds, maxSeconds, true},
		{"cluster.workers.lease_s", table.Workers.LeaseSeconds, maxSeconds, true},
		{"cluster.workers.cancel_s", table.Workers.CancelSeconds, maxSeconds, true},
		{"cluster.state.rps", table.Store.RPS, maxRate, true},
		{"cluster.state.write_rps", table.Store.WriteRPS, maxRate, true},
		{"cluster.state.value_kb", table.Store.ValueKB, maxSize, true},
		{"cluster.state.txn_ops", float64(table.Store.TxnOps), maxCount, true},
		{"cluster.cloud.rps", table.Cloud.RPS, maxRate, true},
		{"cluster.cloud.list_lag_s", table.Cloud.ListLagSeconds, maxSeconds, false},
		{"cluster.machine_limits.mem_mb", limits.MemoryMB, maxSize, false},
		{"cluster.machine_limits.max_connections", float64(limits.MaxConnections), maxCount, false},
		{"cluster.machine_limits.core_share", limits.CPUShare, maxCPUShare, false},
	}
}

// checkNumbers returns an error for the first number that is negative, NaN or above its
// maximum, or else for the first required number that is 0 or not set.
func (f *platformFile) checkNumbers() error {
	fields := f.numericFields()
	for _, field := range fields {
		if err := checkRange(field.name, field.value, field.max); err != nil {
			return err
		}
	}
	for _, field := range fields {
		if field.required && !isPositive(field.value) {
			return fieldErrorf(field.name, "must be set and greater than 0")
		}
	}
	return nil
}

// checkRange returns an error if value is negative, NaN or above maximum.
func checkRange(field string, value, maximum float64) error {
	switch {
	case value < 0:
		return fieldErrorf(field, "%g is below 0", value)
	case math.IsNaN(value) || value > maximum:
		return fieldErrorf(field, "%g is out of range; the maximum is %g", value, maximum)
	}
	return nil
}

// isPositive reports whether value is finite and greater than 0. It is false for NaN.
func isPositive(value float64) bool { return value > 0 && !math.IsInf(value, 1) }
