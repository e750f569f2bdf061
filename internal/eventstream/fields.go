package eventstream

import (
	"bytes"
	"iter"
	"strconv"
)

var (
	dataField = []byte("data:")
	idField   = []byte("id:")
)

// ID returns the numeric id of an event, and false if it has none.
func ID(event []byte) (int64, bool) {
	for line := range lines(event) {
		if value, isID := bytes.CutPrefix(line, idField); isID {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}

// Data returns the data of an event, its lines joined by line feeds, and false if the event holds no
// data.
func Data(event []byte) ([]byte, bool) {
	var data []byte
	found := false
	for line := range lines(event) {
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

// lines iterates over the lines of an event without their ends: LF, CR LF or CR.
func lines(event []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(event) > 0 {
			end := bytes.IndexAny(event, "\r\n")
			if end < 0 {
				yield(event)
				return
			}
			if !yield(event[:end]) {
				return
			}
			length := 1
			if event[end] == '\r' && end+1 < len(event) && event[end+1] == '\n' {
				length = 2
			}
			event = event[end+length:]
		}
	}
}
