package settings

// platformFile is the TOML file of the platform. Unknown fields in the file are
// ignored, since the platform may add fields.
type platformFile struct {
	HostName   string        `toml:"host_name"`
	Zone       string        `toml:"domain"`
	Listen     string        `toml:"listen"`
	PeerListen string        `toml:"back"`
	Peers      []peerTable   `toml:"peers"`
	External   externalTable `toml:"external"`
	Cluster    clusterTable  `toml:"cluster"`
}

// peerTable describes another controller.
type peerTable struct {
	HostName string `toml:"host_name"`
	Endpoint string `toml:"endpoint"`
}

// externalTable holds the addresses of the external services that controllers use.
type externalTable struct {
	Cloud string `toml:"cloud"`
	Store string `toml:"state"`
}

// clusterTable describes the cluster: its teams, objectives and limits.
type clusterTable struct {
	Count   int          `toml:"count"`
	Teams   []teamTable  `toml:"teams"`
	SLOs    []sloTable   `toml:"objectives"`
	Workers workersTable `toml:"workers"`
	Store   storeTable   `toml:"state"`
	Cloud   cloudTable   `toml:"cloud"`
	Limits  limitsTable  `toml:"machine_limits"`
}

// teamTable holds the guaranteed quota and the quota limit of a team. A limit of 0
// means no limit.
type teamTable struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// sloTable is a service-level objective. Its fields match those of cluster.SLO, to
// which it is converted.
type sloTable struct {
	Kind           string  `toml:"kind"`
	Class          string  `toml:"class"`
	WithinSeconds  float64 `toml:"within_s"`
	DeadlineFactor float64 `toml:"times"`
}

// workersTable holds the heartbeat interval and the lease duration of workers, and the
// cancellation deadline of jobs.
type workersTable struct {
	HeartbeatSeconds float64 `toml:"report_s"`
	LeaseSeconds     float64 `toml:"lease_s"`
	CancelSeconds    float64 `toml:"cancel_s"`
}

// storeTable holds the limits of the store.
type storeTable struct {
	RPS      float64         `toml:"rps"`
	WriteRPS float64         `toml:"write_rps"`
	ValueKB  float64         `toml:"value_kb"`
	TxnOps   int             `toml:"txn_ops"`
	Next     *nextStoreTable `toml:"next"`
}

// nextStoreTable holds upcoming limits of the store, which take effect without notice.
// A nil limit does not change.
type nextStoreTable struct {
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// cloudTable holds the cloud's rate limit and the lag of its machine list.
type cloudTable struct {
	RPS            float64 `toml:"rps"`
	ListLagSeconds float64 `toml:"list_lag_s"`
}

// limitsTable holds the resource limits of this process. 0 means no limit.
type limitsTable struct {
	MemoryMB       float64 `toml:"mem_mb"`
	MaxConnections int     `toml:"max_connections"`
	CPUShare       float64 `toml:"core_share"`
}
