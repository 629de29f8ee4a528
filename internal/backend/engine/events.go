package engine

import (
	"bufio"
	"bytes"
	"io"
)

// event is one server-sent event.
type event struct {
	// id is the event's own id field, not the one it inherits.
	id    string
	hasID bool
	data  []byte
}

// events reads server-sent events as the HTML standard defines them. The
// decoder of openai-go does not tell the id of an event.
type events struct {
	lines *bufio.Scanner
	max   int
	// skipLF is set after a carriage return, whose line feed belongs to it.
	skipLF bool
	begun  bool
	data   bytes.Buffer
}

func newEvents(r io.Reader, limit int) *events {
	e := &events{lines: bufio.NewScanner(r), max: limit}
	e.lines.Buffer(make([]byte, 0, 4096), limit)
	e.lines.Split(e.split)
	return e
}

// split finds lines that end with LF, CR LF or CR. A line that the end of
// the stream cuts off is dropped.
func (e *events) split(b []byte, _ bool) (advance int, line []byte, err error) {
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

// next returns the next event with data. The data is valid until the next
// call. An event that the end of the stream cuts off is not returned; the
// error is io.EOF then.
func (e *events) next() (event, error) {
	var v event
	e.data.Reset()
	hasData := false
	for e.lines.Scan() {
		line := e.lines.Bytes()
		if !e.begun {
			e.begun = true
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
