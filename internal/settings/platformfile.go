package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// platformFile is the platform's TOML file. Fields that it does not name are
// ignored: the platform may add some.
type platformFile struct {
	HostName string        `toml:"host_name"`
	Domain   string        `toml:"domain"`
	Listen   string        `toml:"listen"`
	Back     string        `toml:"back"`
	Peers    []peerTable   `toml:"peers"`
	External externalTable `toml:"external"`
	Cluster  clusterTable  `toml:"cluster"`
}

type peerTable struct {
	HostName string `toml:"host_name"`
	Endpoint string `toml:"endpoint"`
}

type externalTable struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

type clusterTable struct {
	Count   int          `toml:"count"`
	Teams   []teamTable  `toml:"teams"`
	SLOs    []sloTable   `toml:"objectives"`
	Workers workersTable `toml:"workers"`
	State   stateTable   `toml:"state"`
	Cloud   cloudTable   `toml:"cloud"`
	Limits  limitsTable  `toml:"machine_limits"`
}

type teamTable struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

type sloTable struct {
	Kind           string  `toml:"kind"`
	Class          string  `toml:"class"`
	WithinSeconds  float64 `toml:"within_s"`
	DeadlineFactor float64 `toml:"times"`
}

type workersTable struct {
	HeartbeatSeconds float64 `toml:"report_s"`
	LeaseSeconds     float64 `toml:"lease_s"`
	CancelSeconds    float64 `toml:"cancel_s"`
}

type stateTable struct {
	RPS      float64         `toml:"rps"`
	WriteRPS float64         `toml:"write_rps"`
	ValueKB  float64         `toml:"value_kb"`
	TxnOps   int             `toml:"txn_ops"`
	Next     *nextStateTable `toml:"next"`
}

// nextStateTable holds limits that come into force later, without notice.
type nextStateTable struct {
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

type cloudTable struct {
	RPS            float64 `toml:"rps"`
	ListLagSeconds float64 `toml:"list_lag_s"`
}

type limitsTable struct {
	MemoryMB       float64 `toml:"mem_mb"`
	MaxConnections int     `toml:"max_connections"`
	CPUShare       float64 `toml:"core_share"`
}

// decodePlatform reads the file's text; its errors name line and field.
func decodePlatform(text []byte) (*platformFile, error) {
	var file platformFile
	err := toml.Unmarshal(text, &file)
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		row, column := decodeError.Position()
		key := strings.Join(decodeError.Key(), ".")
		return nil, fmt.Errorf("line %d column %d: %s: %s", row, column, key, decodeError.Error())
	}
	if err != nil {
		return nil, err
	}
	return &file, nil
}
