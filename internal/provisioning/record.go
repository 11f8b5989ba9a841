package provisioning

import (
	"encoding/json"
	"fmt"
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/exactjson"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// RequestKeyPrefix is the prefix of the keys of stored provisioning requests.
const RequestKeyPrefix = "rentals/"

// RequestRecord is the stored form of a provisioning request.
type RequestRecord struct {
	Shard   cluster.ShardID `json:"p"`
	Type    string          `json:"f"`
	Zone    string          `json:"y"`
	Spot    bool            `json:"s,omitempty"`
	Count   int             `json:"n"`
	WriteID string          `json:"w"`
}

// requestKey returns the key of the provisioning request with the given name.
func requestKey(name string) string { return RequestKeyPrefix + name }

// encodeRequest returns the stored form of a request of a shard.
func encodeRequest(shard cluster.ShardID, request *state.ProvisioningRequest, writeID string) []byte {
	value, _ := json.Marshal(RequestRecord{
		Shard:   shard,
		Type:    request.Option.Type,
		Zone:    request.Option.Zone,
		Spot:    request.Option.Spot,
		Count:   request.Count,
		WriteID: writeID,
	})
	return value
}

// decodeRequest decodes a stored request. It returns the shard to which the request
// belongs and the request.
func decodeRequest(kv messages.KV) (cluster.ShardID, *state.ProvisioningRequest, error) {
	var record RequestRecord
	if err := exactjson.Unmarshal(kv.Value, &record); err != nil {
		return 0, nil, fmt.Errorf("decode provisioning request: %w", err)
	}
	return record.Shard, &state.ProvisioningRequest{
		Name:        strings.TrimPrefix(kv.Key, RequestKeyPrefix),
		Option:      state.ProvisioningOption{Type: record.Type, Zone: record.Zone, Spot: record.Spot},
		Count:       record.Count,
		ModRevision: kv.ModRevision,
	}, nil
}
