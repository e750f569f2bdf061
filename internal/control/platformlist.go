package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/ochrebay/ochrebay/internal/membership"
)

const (
	// reasonListEntry is the metric label under which unusable entries of the platform's list are
	// counted.
	reasonListEntry = "list_entry"
	// maxInstanceListBytes bounds the platform's list: more than 1 KiB for each of 12,000 engines.
	maxInstanceListBytes = 16 << 20
)

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

// fetchInstances reads the platform's list of instances, and returns its usable entries and how many others it has.
func fetchInstances(client *http.Client, address string) (instances []membership.Instance, unusable int, err error) {
	response, err := client.Get("http://" + address + "/v1/instances")
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("control: the platform answered with status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxInstanceListBytes+1))
	if err != nil {
		return nil, 0, err
	}
	if len(body) > maxInstanceListBytes {
		return nil, 0, fmt.Errorf("control: the platform's list of instances has more than %d bytes", maxInstanceListBytes)
	}
	return parseInstances(body)
}
