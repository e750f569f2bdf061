package control

import (
	"bytes"
	"encoding/json"

	"github.com/ochrebay/ochrebay/internal/membership"
)

// listEntry is the reason under which unusable entries of the platform's list are counted.
const listEntry = "list_entry"

// parseInstances reads the platform's list of machines. Others write to it too: an entry that
// is no machine to use is left out and counted, and the others hold.
func parseInstances(body []byte) (instances []membership.Instance, unusable int, err error) {
	var list struct {
		Instances []json.RawMessage `json:"instances"`
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, 0, err
	}
	for _, raw := range list.Instances {
		var entry membership.Instance
		null := bytes.Equal(bytes.TrimSpace(raw), []byte("null"))
		if null || json.Unmarshal(raw, &entry) != nil || entry.Name == "" || entry.Zone == "" || entry.Address == "" || entry.Pool == "" {
			unusable++
			continue
		}
		instances = append(instances, entry)
	}
	return instances, unusable, nil
}
