package program

import (
	"github.com/vmihailenco/msgpack/v5"
)

// Snapshot encodes the headers in ascending order of id.
func (l *Ledger) Snapshot() ([]byte, error) {
	headers := make([]*Header, 0, len(l.programs))
	for _, id := range l.IDs() {
		headers = append(headers, l.programs[id])
	}
	return msgpack.Marshal(headers)
}

// Restore replaces the state with a snapshot. Empty data yields an empty ledger.
func (l *Ledger) Restore(data []byte) error {
	var headers []*Header
	if len(data) > 0 {
		if err := msgpack.Unmarshal(data, &headers); err != nil {
			return err
		}
	}
	l.programs = make(map[string]*Header, len(headers))
	for _, header := range headers {
		l.programs[header.ID] = header
	}
	return nil
}
