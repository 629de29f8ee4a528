package engine

import (
	"bufio"
	"bytes"
	"io"
)

// event is one server-sent event.
type event struct {
	// id is the id field of this event, not the last id of the stream. hasID is
	// set when the event has the field.
	id    string
	hasID bool
	data  []byte
}

// eventReader reads server-sent events as the HTML standard defines them. The
// decoder of openai-go does not return the id of an event.
type eventReader struct {
	lines *bufio.Scanner
	max   int
	// skipLF is set after a carriage return: a line feed that follows belongs
	// to the same line end.
	skipLF  bool
	started bool
	data    bytes.Buffer
}

// newEventReader returns a reader of r. A line or an event of more than limit
// bytes is an error.
func newEventReader(r io.Reader, limit int) *eventReader {
	e := &eventReader{lines: bufio.NewScanner(r), max: limit}
	e.lines.Buffer(make([]byte, 0, 4096), limit)
	e.lines.Split(e.split)
	return e
}

// split is a bufio.SplitFunc for lines that end with LF, CR LF or CR. It drops
// a line that the end of the stream cuts off.
func (e *eventReader) split(b []byte, _ bool) (advance int, line []byte, err error) {
	start := 0
	if e.skipLF && len(b) > 0 {
		e.skipLF = false
		if b[0] == '\n' {
			start = 1
		}
	}
	i := bytes.IndexAny(b[start:], "\r\n")
	if i < 0 {
		return start, nil, nil
	}
	end := start + i
	e.skipLF = b[end] == '\r'
	return end + 1, b[start:end:end], nil
}

// next returns the next event with data, which is valid until the next call. At
// the end of the stream it drops an incomplete event and returns io.EOF.
func (e *eventReader) next() (event, error) {
	var v event
	e.data.Reset()
	hasData := false
	for e.lines.Scan() {
		line := e.lines.Bytes()
		if !e.started {
			e.started = true
			line = bytes.TrimPrefix(line, []byte("\ufeff"))
		}
		if len(line) == 0 {
			if hasData {
				v.data = e.data.Bytes()
				return v, nil
			}
			v = event{}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "data":
			if hasData {
				e.data.WriteByte('\n')
			}
			hasData = true
			if e.data.Len()+len(value) > e.max {
				return event{}, bufio.ErrTooLong
			}
			e.data.Write(value)
		case "id":
			if bytes.IndexByte(value, 0) < 0 {
				v.id, v.hasID = string(value), true
			}
		}
	}
	if err := e.lines.Err(); err != nil {
		return event{}, err
	}
	return event{}, io.EOF
}
