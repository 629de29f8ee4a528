// Package head checks the heads of HTTP/1 responses. Package net/http accepts heads
// that RFC 9112 does not allow: a status such as 000, a blank in the name of a field,
// lines that continue the one before, and a transfer encoding in HTTP/1.0. Such a head may
// hide the length of its body.
package head

// InvalidError reports a head that is not valid.
type InvalidError struct {
	// Reason is what is wrong with it.
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return "the head of the response is invalid: " + e.Reason }

// The reasons of an InvalidError.
const (
	reasonStatusLine   = "it has no valid status line"
	reasonStatus       = "its status is not between 100 and 599"
	reasonNotFinal     = "its status is not that of a final response"
	reasonName         = "the name of a field has a byte that is not allowed, or no colon"
	reasonContinuation = "a line begins with a blank"
	reasonEncoding     = "it names a transfer encoding, which HTTP/1.0 does not have"
	reasonControl      = "a line has a control byte"
)

const (
	// statusLine is the form of a status line up to the status. A # stands for a digit.
	statusLine = "HTTP/1.# ###"
	// minorVersion is the offset of the minor version in statusLine.
	minorVersion = 7
	// encodingField is the name of the field with the transfer encoding, in lower case.
	encodingField = "transfer-encoding"
	// lowerCase is the bit that is set in lower-case letters, and in a hyphen.
	lowerCase = 0x20
	// minStatus and maxStatus bound a status, firstFinal is the first one of a final
	// response. switchingProtocols is final, too: no other head follows.
	minStatus, maxStatus = 100, 599
	firstFinal           = 200
	switchingProtocols   = 101
)

// position is the part of a head to which the next byte belongs.
type position int

// The positions in a head, and outside of it.
const (
	// outside is the position in a body, or between two exchanges.
	outside position = iota
	inStatusLine
	inReason
	atLineStart
	inName
	inValue
	// afterReturn is the position after a carriage return that ends a line, and
	// afterLastReturn after one that ends the head.
	afterReturn
	afterLastReturn
	// invalid is the position after an invalid byte.
	invalid
)

// CheckFinal returns an *InvalidError if the status is not that of a final response. It
// rejects 101, too, which only answers a request for another protocol.
func CheckFinal(status int) error {
	if status < firstFinal || status > maxStatus {
		return &InvalidError{reasonNotFinal}
	}
	return nil
}

// Checker checks the heads of the responses of one connection. Its zero value is outside
// of a head. It must not be used concurrently.
type Checker struct {
	position position
	// offset is the number of bytes of the status line that were checked, status the
	// digits of the status so far.
	offset, status int
	// http10 is set for HTTP/1.0.
	http10 bool
	// matched is the number of bytes of the name of a field that agree with encodingField,
	// or -1 once one differs.
	matched int
	err     error
}

// Begin makes the next byte the first one of a head. Interim responses may come before
// the final one.
func (c *Checker) Begin() {
	*c = Checker{position: inStatusLine}
}

// Check checks the next bytes of the connection. It ignores those outside of a head. Its
// error is an *InvalidError, which is returned again until Begin is called.
func (c *Checker) Check(b []byte) error {
	for i := 0; i < len(b) && c.position != outside && c.position != invalid; i++ {
		c.next(b[i])
	}
	return c.err
}

// next checks one byte.
func (c *Checker) next(b byte) {
	switch c.position {
	case inStatusLine:
		c.inStatusLine(b)
	case inReason, inValue:
		c.inText(b)
	case atLineStart:
		c.atLineStart(b)
	case inName:
		c.inName(b)
	case afterReturn:
		c.expectLineFeed(b, atLineStart)
	case afterLastReturn:
		c.expectLineFeed(b, outside)
		c.endHead()
	}
}

// inStatusLine checks a byte of the status line up to the status, or the one after it.
func (c *Checker) inStatusLine(b byte) {
	if c.offset == len(statusLine) {
		c.afterStatus(b)
		return
	}
	digit := '0' <= b && b <= '9'
	switch want := statusLine[c.offset]; {
	case want == '#' && !digit, want != '#' && b != want:
		c.fail(reasonStatusLine)
		return
	case c.offset == minorVersion:
		c.http10 = b == '0'
	case want == '#':
		c.status = 10*c.status + int(b-'0')
	}
	c.offset++
}

// afterStatus checks the byte after the status.
func (c *Checker) afterStatus(b byte) {
	if c.status < minStatus || c.status > maxStatus {
		c.fail(reasonStatus)
		return
	}
	switch b {
	case ' ':
		c.position = inReason
	case '\r', '\n':
		c.inText(b)
	default:
		c.fail(reasonStatusLine)
	}
}

// inText checks a byte of the reason of a status or of the value of a field.
func (c *Checker) inText(b byte) {
	switch {
	case b == '\r':
		c.position = afterReturn
	case b == '\n':
		c.position = atLineStart
	case b < ' ' && b != '\t', b == 0x7f:
		c.fail(reasonControl)
	}
}

// atLineStart checks the first byte of a line after the status line.
func (c *Checker) atLineStart(b byte) {
	switch b {
	case '\r':
		c.position = afterLastReturn
	case '\n':
		c.position = outside
		c.endHead()
	case ' ', '\t':
		c.fail(reasonContinuation)
	case ':':
		c.fail(reasonName)
	default:
		c.position, c.matched = inName, 0
		c.inName(b)
	}
}

// inName checks a byte of the name of a field, or the colon after it.
func (c *Checker) inName(b byte) {
	switch {
	case b == ':' && c.http10 && c.matched == len(encodingField):
		c.fail(reasonEncoding)
	case b == ':':
		c.position = inValue
	case !isTokenByte(b):
		c.fail(reasonName)
	case c.matched >= 0 && c.matched < len(encodingField) && b|lowerCase == encodingField[c.matched]:
		c.matched++
	default:
		c.matched = -1
	}
}

// expectLineFeed checks the byte after a carriage return.
func (c *Checker) expectLineFeed(b byte, next position) {
	if b != '\n' {
		c.fail(reasonControl)
		return
	}
	c.position = next
}

// endHead begins the next head if this one was that of an interim response.
func (c *Checker) endHead() {
	if c.position == outside && c.status < firstFinal && c.status != switchingProtocols {
		c.Begin()
	}
}

// fail records that the head is invalid.
func (c *Checker) fail(reason string) {
	c.position, c.err = invalid, &InvalidError{reason}
}
