package control

import (
	"bytes"
	"encoding/json"

	"github.com/ochrebay/ochrebay/internal/membership"
)

// reasonListEntry is the metric label under which unusable entries of the platform's list are
// counted.
const reasonListEntry = "list_entry"

// parseInstances decodes the platform's list of instances. Other systems write to the list too, so
// an entry that does not describe a usable instance is skipped and counted, and the remaining
// entries are returned.
func parseInstances(body []byte) (instances []membership.Instance, unusable int, err error) {
	var list struct {
		Instances []json.RawMessage `json:"instances"`
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, 0, err
	}
	for _, raw := range list.Instances {
		var entry membership.Instance
		isNull := bytes.Equal(bytes.TrimSpace(raw), []byte("null"))
		if isNull || json.Unmarshal(raw, &entry) != nil || entry.Name == "" || entry.Zone == "" || entry.Address == "" || entry.Pool == "" {
			unusable++
			continue
		}
		instances = append(instances, entry)
	}
	return instances, unusable, nil
}
