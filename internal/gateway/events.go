package gateway

import (
	"bytes"
	"strconv"
)

var (
	dataField = []byte("data:")
	idField   = []byte("id:")
)

// eventID returns the numeric id of an event, and false if it has none.
func eventID(block []byte) (int64, bool) {
	for _, line := range bytes.Split(block, []byte("\n")) {
		if value, isID := bytes.CutPrefix(bytes.TrimSuffix(line, []byte("\r")), idField); isID {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}

// eventData returns the data of one event of a stream, its lines joined by line feeds, and false if
// the block holds no data (HTML standard, section 9.2.6).
func eventData(block []byte) ([]byte, bool) {
	var data []byte
	found := false
	for _, line := range bytes.Split(block, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		value, isData := bytes.CutPrefix(line, dataField)
		if !isData {
			continue
		}
		if found {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		found = true
	}
	return data, found
}
