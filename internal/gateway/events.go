package gateway

import "bytes"

var dataField = []byte("data:")

// eventData returns the data of one event of a stream (HTML standard, section
// 9.2.6), its lines joined by line feeds; false where the block holds no data.
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
