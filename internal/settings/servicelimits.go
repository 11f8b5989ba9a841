package settings

const (
	// minTxnOps and minValueKB are the smallest limits of the state service that
	// the stored records can be adapted to.
	minTxnOps  = 4
	minValueKB = 2
	bytesPerKB = 1024
	// maxValueKB is the largest value that fits into a transaction beside its key
	// and compares: the protocol takes 64 KiB overall. A larger limit of the state
	// service is of no use.
	maxValueKB = 60
)

// check checks the limits of the state service, those to come included.
func (t *stateTable) check() error {
	if t.Next != nil {
		if err := t.Next.check(); err != nil {
			return err
		}
	}
	lowest := t.lowest()
	if lowest.TxnOps < minTxnOps || lowest.ValueKB < minValueKB {
		return fieldErrorf("cluster.state",
			"txn_ops below %d or value_kb below %d, now or next, is more than the records can be cut to",
			minTxnOps, minValueKB)
	}
	return nil
}

// check checks the limits that are given.
func (t *nextStateTable) check() error {
	if t.WriteRPS != nil && !isPositive(*t.WriteRPS) {
		return fieldErrorf("cluster.state.next.write_rps", "not above 0")
	}
	if t.ValueKB != nil && !isPositive(*t.ValueKB) {
		return fieldErrorf("cluster.state.next.value_kb", "not above 0")
	}
	if t.TxnOps != nil && *t.TxnOps <= 0 {
		return fieldErrorf("cluster.state.next.txn_ops", "not above 0")
	}
	return nil
}

// lowest returns the lower of each present limit and the one to come. Limits to come
// take effect without notice, so only what is within both is safe at all times.
func (t *stateTable) lowest() stateTable {
	lowest := *t
	if t.Next != nil {
		lowest.WriteRPS = lowerLimit(t.WriteRPS, t.Next.WriteRPS)
		lowest.ValueKB = lowerLimit(t.ValueKB, t.Next.ValueKB)
		lowest.TxnOps = lowerLimit(t.TxnOps, t.Next.TxnOps)
	}
	return lowest
}

// lowerLimit returns the lower of a present limit and one to come, if there is one.
func lowerLimit[T int | float64](present T, next *T) T {
	if next == nil {
		return present
	}
	return min(present, *next)
}

// setStateLimits sets the limits of the state service. The present write rate is kept
// beside the lower one, as it may be used until the state service refuses it.
func (s *Settings) setStateLimits(state *stateTable) {
	lowest := state.lowest()
	s.Controller.CurrentWriteRPS = state.WriteRPS
	s.Controller.WriteRPS = lowest.WriteRPS
	s.Controller.StoreRPS = lowest.RPS
	s.Controller.MaxValueBytes = int(min(lowest.ValueKB, maxValueKB) * bytesPerKB)
	s.Controller.MaxTxnOps = lowest.TxnOps
}

// setCloudLimits sets the rate limit of the cloud and the delay of its machine list.
func (s *Settings) setCloudLimits(cloud *cloudTable) {
	s.Controller.CloudRPS = cloud.RPS
	s.Controller.CloudListLag = seconds(cloud.ListLagSeconds)
}
