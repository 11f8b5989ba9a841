package wire

import (
	"net/url"
	"strconv"
	"time"

	"stairrelay/internal/cluster"
)

// Paths served by controllers.
const (
	HealthPath    = "/healthz"
	JobsPath      = "/v2/runs"
	HeartbeatPath = "/checkin"
)

// Paths served by workers.
const (
	PushCommandsPath = "/orders"
	WorkerStatusPath = "/inspect"
)

// Paths served by the cloud.
const (
	MachineTypesPath = "/flavors"
	ScaleOutPath     = "/rentals"
	ScaleInPath      = "/rentals/return"
	machinesPath     = "/rentals"
)

// Paths served by the store.
const (
	TxnPath   = "/multi"
	keysPath  = "/keys"
	watchPath = "/watch"
)

// Query parameters of lists and watches.
const (
	afterParameter    = "since"
	pageSizeParameter = "page"
	prefixParameter   = "prefix"
	timeoutParameter  = "blockMs"
)

// MachinesPath returns the path of a page of the machine list. The page begins after the
// given machine, or is the first one if the machine ID is empty.
func MachinesPath(after cluster.MachineID, pageSize int) string {
	query := url.Values{pageSizeParameter: {strconv.Itoa(pageSize)}}
	if after != "" {
		query.Set(afterParameter, string(after))
	}
	return machinesPath + "?" + query.Encode()
}

// KeyPath returns the path of a key. The store expects slashes in the key unescaped.
func KeyPath(key string) string { return keysPath + "/" + key }

// KeysPath returns the path of a page of the list of keys with a prefix. The page begins
// after the given key, or is the first one if that key is empty.
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

// WatchPath returns the path of a watch of the keys with a prefix. The watch reports
// changes after the given revision, and waits for one until the timeout if there is none.
func WatchPath(prefix string, after cluster.Revision, timeout time.Duration) string {
	query := url.Values{
		prefixParameter:  {prefix},
		afterParameter:   {strconv.FormatUint(uint64(after), 10)},
		timeoutParameter: {strconv.FormatInt(timeout.Milliseconds(), 10)},
	}
	return watchPath + "?" + query.Encode()
}
