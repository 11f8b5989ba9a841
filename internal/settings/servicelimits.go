package settings

const (
	// minTxnOps and minValueKB are the lowest limits of the store that are
	// supported. Records cannot be split into smaller transactions and values.
	minTxnOps  = 4
	minValueKB = 2
	bytesPerKB = 1024
	// maxValueKB is the largest value that fits into a transaction together with
	// its key and compares, as a request body is limited to 64 KiB. A higher value
	// limit of the store has no effect.
	maxValueKB = 60
)

// check checks that the limits of the store, including upcoming ones, are not below the
// lowest supported limits.
func (t *storeTable) check() error {
	if t.Next != nil {
		if err := t.Next.check(); err != nil {
			return err
		}
	}
	lowest := t.lowest()
	if lowest.TxnOps < minTxnOps || lowest.ValueKB < minValueKB {
		return fieldErrorf("cluster.state",
			"txn_ops must be at least %d and value_kb at least %d, also in cluster.state.next",
			minTxnOps, minValueKB)
	}
	return nil
}

// check checks that the limits that are set are greater than 0.
func (t *nextStoreTable) check() error {
	if t.WriteRPS != nil && !isPositive(*t.WriteRPS) {
		return fieldErrorf("cluster.state.next.write_rps", "must be finite and greater than 0")
	}
	if t.ValueKB != nil && !isPositive(*t.ValueKB) {
		return fieldErrorf("cluster.state.next.value_kb", "must be finite and greater than 0")
	}
	if t.TxnOps != nil && *t.TxnOps <= 0 {
		return fieldErrorf("cluster.state.next.txn_ops", "must be greater than 0")
	}
	return nil
}

// lowest returns the lower of each current limit and its upcoming value. Upcoming
// limits take effect without notice, so requests must always stay within both.
func (t *storeTable) lowest() storeTable {
	lowest := *t
	if t.Next != nil {
		lowest.WriteRPS = lowerLimit(t.WriteRPS, t.Next.WriteRPS)
		lowest.ValueKB = lowerLimit(t.ValueKB, t.Next.ValueKB)
		lowest.TxnOps = lowerLimit(t.TxnOps, t.Next.TxnOps)
	}
	return lowest
}

// lowerLimit returns the lower of a current limit and an upcoming one. A nil upcoming
// limit is ignored.
func lowerLimit[T int | float64](current T, next *T) T {
	if next == nil {
		return current
	}
	return min(current, *next)
}

// setStoreLimits sets each limit of the store to the lower of its current and its
// upcoming value. It also sets the current write rate, which may be used until the store
// enforces the upcoming one.
func (s *Settings) setStoreLimits(limits *storeTable) {
	lowest := limits.lowest()
	s.Controller.CurrentWriteRPS = limits.WriteRPS
	s.Controller.WriteRPS = lowest.WriteRPS
	s.Controller.StoreRPS = lowest.RPS
	s.Controller.MaxValueBytes = int(min(lowest.ValueKB, maxValueKB) * bytesPerKB)
	s.Controller.MaxTxnOps = lowest.TxnOps
}

// setCloudLimits sets the cloud's rate limit and the lag of its machine list.
func (s *Settings) setCloudLimits(cloud *cloudTable) {
	s.Controller.CloudRPS = cloud.RPS
	s.Controller.CloudListLag = seconds(cloud.ListLagSeconds)
}
