package responsehead

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestCheck guards against an invalid head that is accepted, and against heads that RFC 9112 allows, or lets a recipient read, and that are rejected.
func TestCheck(t *testing.T) {
	for head, isValid := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\n":                                                        true,
		"HTTP/1.1 200\r\n\r\n":                                                           true,
		"HTTP/1.1 200 \r\n\r\n":                                                          true,
		"HTTP/1.1  200 OK\r\n\r\n":                                                       true,
		"HTTP/1.0 404 Not Found\r\nServer: a\r\n\r\n":                                    true,
		"HTTP/1.2 200 OK\r\n\r\n":                                                        true,
		"HTTP/1.1 599 \xe4\tb\r\n\r\n":                                                   true,
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n":                                 true,
		"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n":                             true,
		"HTTP/1.1 200 OK\nA: b\n\n":                                                      true,
		"HTTP/1.1 200 OK\r\nA:\r\n!#$%&'*+-.^_`|~09azAZ:\tb\xff\t\r\n\r\n":               true,
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\td\r\n  \r\nE: f\r\n\r\n":                     true,
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n":     true,
		"HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\n":                                   true,
		"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\n\r\n":                                 true,
		"HTTP/1.1 000 OK\r\n\r\n":                                                        false,
		"HTTP/1.1 099 OK\r\n\r\n":                                                        false,
		"HTTP/1.1 600 OK\r\n\r\n":                                                        false,
		"HTTP/1.1 999 OK\r\n\r\n":                                                        false,
		"HTTP/1.1 +20 OK\r\n\r\n":                                                        false,
		"HTTP/1.1 20 OK\r\n\r\n":                                                         false,
		"HTTP/1.1 2000 OK\r\n\r\n":                                                       false,
		"HTTP/1.1 2x0 OK\r\n\r\n":                                                        false,
		"HTTP/1.1 \xb2\xb2\xb2 OK\r\n\r\n":                                               false,
		"HTTP/1.1 OK\r\n\r\n":                                                            false,
		"HTTP/1.1\r\n\r\n":                                                               false,
		"HTTP/1.1 101 Switching Protocols\r\n\r\n":                                       false,
		"HTTP/0.9 200 OK\r\n\r\n":                                                        false,
		"HTTP/2.0 200 OK\r\n\r\n":                                                        false,
		"HTTP/9.9 200 OK\r\n\r\n":                                                        false,
		"HTTP/1.10 200 OK\r\n\r\n":                                                       false,
		"HTTP/1. 200 OK\r\n\r\n":                                                         false,
		"http/1.1 200 OK\r\n\r\n":                                                        false,
		" HTTP/1.1 200 OK\r\n\r\n":                                                       false,
		"\r\n\r\n":                                                                       false,
		"":                                                                               false,
		"HTTP/1.1 200 O\x00K\r\n\r\n":                                                    false,
		"HTTP/1.1 200 O\rK\r\n\r\n":                                                      false,
		"HTTP/1.1 200 O\x7fK\r\n\r\n":                                                    false,
		"HTTP/1.1 200 OK\r\nA: b\r\n":                                                    false,
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\nC: d\r\n\r\n":                                    false,
		"HTTP/1.1 200 OK\r\n A: b\r\n\r\n":                                               false,
		"HTTP/1.1 200 OK\r\nA : b\r\n\r\n":                                               false,
		"HTTP/1.1 200 OK\r\nA B: c\r\n\r\n":                                              false,
		"HTTP/1.1 200 OK\r\nA\tB: c\r\n\r\n":                                             false,
		"HTTP/1.1 200 OK\r\n: c\r\n\r\n":                                                 false,
		"HTTP/1.1 200 OK\r\nno colon\r\n\r\n":                                            false,
		"HTTP/1.1 200 OK\r\nA\x00: b\r\n\r\n":                                            false,
		"HTTP/1.1 200 OK\r\nA: b\x00\r\n\r\n":                                            false,
		"HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n":                                             false,
		"HTTP/1.1 200 OK\r\nA: b\r\n c\x01\r\n\r\n":                                      false,
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\r\n\r\n":                                          false,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                          false,
		"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n":                    false,
		"HTTP/1.1 103 Early Hints\r\ncontent-length: 5\r\n\r\n":                          false,
		"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n 5\r\n\r\n":                    false,
		"HTTP/1.1 200 OHTTP/1.1 200 OK\r\n\r\n":                                          false,
		"HTTP/1.1 200 OK\r\nA: bHTTP/1.1 503 Service Unavailable\r\n\r\n":                false,
		"HTTP/1.1 200 OK\r\nA: b\r\n HTTP/1.1 503\r\n\r\n":                               false,
		"HTTP/1.1 200 OK\r\nA: HTTP/1.1\r\n 503 Service Unavailable\r\nB: c\r\n\r\n":     false,
		"HTTP/1.1 503 Service Unavailable\r\nHTTP/1.1 200 OK\r\nServer: a\r\n\r\n":       false,
		"HTTP/1.1 200 OK\r\nA: b\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":        false,
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", 1<<14) + "\r\n\r\n":               true,
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 1<<10) + "A b: c\r\n\r\n":     false,
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n c\r\n", 1<<10) + "A: b\n\n":     true,
		"HTTP/1.1 200 OK\r\nA: b\r\n" + strings.Repeat(" c\r\n", 1<<10) + "\x01\r\n\r\n": false,
	} {
		Convey(fmt.Sprintf("%.80q of %d bytes", head, len(head)), t, func() {
			err := Check([]byte(head))
			So(err == nil, ShouldEqual, isValid)
			So(err == nil || errors.Is(err, ErrInvalid), ShouldBeTrue)
		})
	}
}

const tokenCharacters = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// drawHead draws the lines of a valid head: the status line, and field lines of which some are folded.
func drawHead(t *rapid.T) []string {
	content := rapid.StringOfN(rapid.RuneFrom([]rune("aZ09 \t\"():/é")), 0, 20, -1)
	lines := []string{fmt.Sprintf("HTTP/1.%d %d %s", rapid.IntRange(0, 1).Draw(t, "version"), rapid.IntRange(200, 599).Draw(t, "status"), content.Draw(t, "reason"))}
	for range rapid.IntRange(0, 8).Draw(t, "fields") {
		// The first character keeps the name from being one that decides about the framing.
		name := "x" + rapid.StringOfN(rapid.RuneFrom([]rune(tokenCharacters)), 0, 12, -1).Draw(t, "name")
		lines = append(lines, name+":"+content.Draw(t, "value"))
		for range rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "folds") {
			lines = append(lines, rapid.SampledFrom([]string{" ", "\t"}).Draw(t, "blank")+content.Draw(t, "folded"))
		}
	}
	return lines
}

func joinLines(lines []string, end string) []byte {
	return []byte(strings.Join(lines, end) + end + end)
}

// TestCheckProperty guards against a fault at any place of a head that is not found, and against a valid head that is
// rejected.
func TestCheckProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := drawHead(t)
		end := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "end")
		if err := Check(joinLines(lines, end)); err != nil {
			t.Fatalf("%q: %v", lines, err)
		}
		position := rapid.IntRange(0, len(lines)-1).Draw(t, "line")
		line := lines[position]
		control := rapid.SampledFrom([]string{"\x00", "\x01", "\x0b", "\x1b", "\x1f", "\x7f", "\r."}).Draw(t, "control")
		isField := position > 0 && line[0] != ' ' && line[0] != '\t'
		switch fault := rapid.SampledFrom([]string{"control", "status", "version", "name"}).Draw(t, "fault"); {
		case fault == "status":
			status := rapid.OneOf(rapid.IntRange(0, 99), rapid.IntRange(600, 999), rapid.Just(101)).Draw(t, "wrong status")
			lines[0] = fmt.Sprintf("%s%03d%s", lines[0][:len("HTTP/1.1 ")], status, lines[0][len("HTTP/1.1 200"):])
		case fault == "version":
			lines[0] = rapid.SampledFrom([]string{"HTTP/0.9", "HTTP/2.0", "HTTP/11.1", "HTTP/1.", "HTTPS/1.1", "ICY"}).Draw(t, "wrong version") + lines[0][len("HTTP/1.1"):]
		case fault == "name" && isField:
			at := rapid.IntRange(1, strings.IndexByte(line, ':')).Draw(t, "at")
			wrong := rapid.SampledFrom([]string{" ", "\t", "(", ")", "<", ">", "@", ",", ";", "\\", "\"", "/", "[", "]", "?", "=", "{", "}", "\x80", "\xff", control}).Draw(t, "wrong")
			lines[position] = line[:at] + wrong + line[at:]
		default:
			at := rapid.IntRange(0, len(line)).Draw(t, "at")
			lines[position] = line[:at] + control + line[at:]
		}
		if Check(joinLines(lines, end)) == nil {
			t.Fatalf("accepted: %q", lines)
		}
	})
}

// FuzzCheck guards against a head that makes Check fail otherwise than with ErrInvalid.
func FuzzCheck(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n"))
	f.Fuzz(func(t *testing.T, head []byte) {
		if err := Check(head); err != nil && !errors.Is(err, ErrInvalid) {
			t.Fatal(err)
		}
	})
}

func BenchmarkCheck(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nOchrebay-Request: 0123456789abcdef\r\nOchrebay-Signature: engine-17\r\nDate: Mon, 07 Dec 2026 00:00:00 GMT\r\nTransfer-Encoding: chunked\r\n\r\n")
	b.ReportAllocs()
	for b.Loop() {
		_ = Check(head)
	}
}
