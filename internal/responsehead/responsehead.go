// Package responsehead decides which bytes are the head of an HTTP/1.x response (RFC 9112). The parser of the standard
// library accepts more: it takes any three characters that are a number for a status, and blanks within the names of
// fields, whose lines it then drops. A head is therefore checked as it was received.
package responsehead

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"regexp"
)

// ErrInvalid means that a head is invalid. Nothing in it may be relied upon, neither the ID nor the framing of the body.
var ErrInvalid = errors.New("responsehead: invalid head of a response")

const (
	// maxQuotedBytes bounds how much of a faulty line an error quotes.
	maxQuotedBytes = 64
	statusDigits   = 3
	minStatus      = 100
	maxStatus      = 599
	versionPrefix  = "HTTP/1."
)

// statusLine matches the beginning of a response (RFC 9112, section 4).
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( |$)`)

// Check returns ErrInvalid unless the bytes, up to and with the blank line, are the head of a response that a request
// without an upgrade may get. Lines may end with LF alone, and field lines may be folded (sections 2.2 and 5.2). It
// does not parse the values of fields: the parser does that.
func Check(head []byte) error {
	line, rest := cutLine(head)
	minorVersion, status, err := parseStatusLine(line)
	if err != nil {
		return err
	}
	var fields fieldChecker
	for line, rest = cutLine(rest); len(line) > 0; line, rest = cutLine(rest) {
		if err := fields.checkLine(line); err != nil {
			return err
		}
	}
	switch {
	case len(rest) > 0 || !endsWithBlankLine(head):
		return fmt.Errorf("%w: no blank line at its end", ErrInvalid)
	case fields.hasTransferEncoding && minorVersion == '0':
		return fmt.Errorf("%w: transfer coding in HTTP/1.0", ErrInvalid)
	case (fields.hasTransferEncoding || fields.hasLength) && status < http.StatusOK:
		// What follows the head could be a body, or the next response.
		return fmt.Errorf("%w: interim response with a body", ErrInvalid)
	}
	return nil
}

// cutLine returns the first line without its end, and what follows it.
func cutLine(text []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(text, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'}), rest
}

func endsWithBlankLine(head []byte) bool {
	return bytes.HasSuffix(head, []byte("\n\r\n")) || bytes.HasSuffix(head, []byte("\n\n"))
}

// parseStatusLine returns the minor version of HTTP/1.x, a digit, and the status (RFC 9112, section 4).
func parseStatusLine(line []byte) (minorVersion byte, status int, err error) {
	invalid := func(what string) (byte, int, error) { return 0, 0, invalidLine(what, line) }
	protocol, rest, _ := bytes.Cut(line, []byte{' '})
	digit, isHTTP := bytes.CutPrefix(protocol, []byte(versionPrefix))
	if !isHTTP || len(digit) != 1 || !isDigit(digit[0]) {
		return invalid("version")
	}
	code, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte{' '})
	status, isStatus := parseStatus(code)
	switch {
	case !isStatus:
		return invalid("status")
	case status == http.StatusSwitchingProtocols:
		return invalid("change of protocols that no request asked for")
	case !isFieldContent(reason):
		return invalid("reason phrase")
	case containsResponse(reason):
		return invalid("response within the head of another one")
	}
	return digit[0], status, nil
}

// parseStatus returns a status code, and false for what is none (RFC 9110, section 15).
func parseStatus(code []byte) (status int, isStatus bool) {
	if len(code) != statusDigits {
		return 0, false
	}
	for _, character := range code {
		if !isDigit(character) {
			return 0, false
		}
		status = status*10 + int(character-'0')
	}
	return status, minStatus <= status && status <= maxStatus
}

// fieldChecker checks the field lines of a head in their order.
type fieldChecker struct {
	// value is the value of the latest field, with its folded lines.
	value []byte
	// hasLength means that a Content-Length other than 0 is given.
	hasTransferEncoding, hasLength bool
	isInLength                     bool
}

// checkLine checks a field line, or a folded line that continues the one before (RFC 9112, section 5).
func (c *fieldChecker) checkLine(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		if c.value == nil {
			return invalidLine("folded line without a field", line)
		}
		c.value = append(append(bytes.Clone(c.value), ' '), bytes.TrimLeft(line, " \t")...)
	} else if err := c.startField(line); err != nil {
		return err
	}
	if !isFieldContent(line) {
		return invalidLine("field value", line)
	}
	if c.isInLength {
		c.hasLength = c.hasLength || string(bytes.TrimSpace(c.value)) != "0"
	}
	if containsResponse(c.value) {
		return invalidLine("response within the head of another one", line)
	}
	return nil
}

// startField checks the name of a field line and keeps its value.
func (c *fieldChecker) startField(line []byte) error {
	name, value, hasColon := bytes.Cut(line, []byte{':'})
	if !hasColon || !isToken(name) {
		return invalidLine("field name", line)
	}
	c.value = value
	c.isInLength = bytes.EqualFold(name, []byte("Content-Length"))
	c.hasTransferEncoding = c.hasTransferEncoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	return nil
}

// containsResponse reports whether a response begins within a part of a head, as when the engine breaks off a response
// within its head and goes on with the next one: the status would be that of the first response, and the ID that of the
// second one.
func containsResponse(part []byte) bool {
	return bytes.Contains(part, []byte(versionPrefix)) && statusLine.Match(part)
}

func invalidLine(what string, line []byte) error {
	return fmt.Errorf("%w: %s: %q", ErrInvalid, what, line[:min(len(line), maxQuotedBytes)])
}

func isDigit(character byte) bool { return '0' <= character && character <= '9' }

// isToken reports whether a name is a token (RFC 9110, section 5.6.2).
func isToken(name []byte) bool {
	for _, character := range name {
		if !isTokenCharacter[character] {
			return false
		}
	}
	return len(name) > 0
}

var isTokenCharacter = func() (characters [256]bool) {
	for character := range characters {
		isLetter := 'a' <= character|0x20 && character|0x20 <= 'z' && character < 0x80
		characters[character] = isLetter || isDigit(byte(character)) || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), byte(character)) >= 0
	}
	return characters
}()

// isFieldContent reports whether bytes may stand in a value or in a reason phrase: no control bytes but tabs (RFC 9110,
// section 5.5).
func isFieldContent(content []byte) bool {
	const del = 0x7f
	for _, character := range content {
		if character < ' ' && character != '\t' || character == del {
			return false
		}
	}
	return true
}
