package wire

import (
	"net/url"
	"strconv"
	"time"

	"stairrelay/internal/cluster"
)

// The paths that controllers serve.
const (
	HealthPath    = "/healthz"
	JobsPath      = "/v2/runs"
	HeartbeatPath = "/checkin"
)

// The paths that workers serve.
const (
	PushCommandsPath = "/orders"
	WorkerStatusPath = "/inspect"
)

// The paths that the cloud serves.
const (
	MachineTypesPath = "/flavors"
	ScaleOutPath     = "/rentals"
	ScaleInPath      = "/rentals/return"
	machinesPath     = "/rentals"
)

// The paths that the state service serves.
const (
	TxnPath   = "/multi"
	keysPath  = "/keys"
	watchPath = "/watch"
)

// The parameters of lists and watches.
const (
	afterParameter    = "since"
	pageSizeParameter = "page"
	prefixParameter   = "prefix"
	timeoutParameter  = "blockMs"
)

// MachinesPath is the path of the page of the machine list that follows a machine; the
// first page follows none.
func MachinesPath(after cluster.MachineID, pageSize int) string {
	query := url.Values{pageSizeParameter: {strconv.Itoa(pageSize)}}
	if after != "" {
		query.Set(afterParameter, string(after))
	}
	return machinesPath + "?" + query.Encode()
}

// KeyPath is the path of a key, whose slashes the state service takes as they are.
func KeyPath(key string) string { return keysPath + "/" + key }

// KeysPath is the path of the page of the keys with a prefix that follows a key; the
// first page follows none.
func KeysPath(prefix, after string, pageSize int) string {
	query := url.Values{
		prefixParameter:   {prefix},
		pageSizeParameter: {strconv.Itoa(pageSize)},
	}
	if after != "" {
		query.Set(afterParameter, after)
	}
	return keysPath + "?" + query.Encode()
}

// WatchPath is the path of a watch of the keys with a prefix that begins after a
// revision and waits no longer than a time-out.
func WatchPath(prefix string, after cluster.Revision, timeout time.Duration) string {
	query := url.Values{
		prefixParameter:  {prefix},
		afterParameter:   {strconv.FormatUint(uint64(after), 10)},
		timeoutParameter: {strconv.FormatInt(timeout.Milliseconds(), 10)},
	}
	return watchPath + "?" + query.Encode()
}
