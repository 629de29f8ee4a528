package engine

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// readAll returns the events of a stream as "id|data".
func readAll(r io.Reader, limit int) ([]string, error) {
	e := newEventReader(r, limit)
	var all []string
	for {
		v, err := e.next()
		if err != nil {
			return all, err
		}
		all = append(all, v.id+"|"+string(v.data))
	}
}

// TestEvents guards against events that are truncated, merged or read with the
// id of another event, for each line end and at the end of a stream.
func TestEvents(t *testing.T) {
	tests := []struct {
		name, stream string
		want         []string
	}{
		{"plain", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1|a", "2|b"}},
		{"crlf", "\ufeffid: 1\r\ndata: a\r\n\r\ndata: b\r\n\r\n", []string{"1|a", "|b"}},
		{"cr", "id: 1\rdata: a\r\rdata: b\r\r", []string{"1|a", "|b"}},
		{"lines", "data: a\ndata:b\ndata\n\n", []string{"|a\nb\n"}},
		{"comment", ": ping\n\nevent: x\nretry: 5\nid: 4\n\ndata: a\n\n", []string{"|a"}},
		{"cutEvent", "data: a\n\ndata: [DONE]\n", []string{"|a"}},
		{"cutLine", "data: a\n\ndata: [DO", []string{"|a"}},
		{"nullID", "id: 1\x00\ndata: a\n\n", []string{"|a"}},
	}
	for _, x := range tests {
		got, err := readAll(bytes.NewReader([]byte(x.stream)), 100)
		assert.Check(t, errors.Is(err, io.EOF), x.name)
		assert.DeepEqual(t, got, x.want)
	}
	_, err := readAll(bytes.NewReader(bytes.Repeat([]byte("data: xxxxxxxx\n"), 600)), 4096)
	assert.ErrorContains(t, err, "too long")
	_, err = readAll(bytes.NewReader(bytes.Repeat([]byte("x"), 9000)), 4096)
	assert.ErrorContains(t, err, "too long")
}

// FuzzEvents guards against input that is parsed differently when it arrives in
// other pieces, and against events that exceed the limit.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"))
	f.Add([]byte("\ufeffdata\rdata:\r\r: c\n\ndata: [DONE]"))
	f.Fuzz(func(t *testing.T, b []byte) {
		const limit = 4096
		whole, err := readAll(bytes.NewReader(b), limit)
		split, splitErr := readAll(iotest.OneByteReader(bytes.NewReader(b)), limit)
		assert.DeepEqual(t, whole, split)
		assert.Equal(t, err.Error(), splitErr.Error())
		for _, e := range whole {
			assert.Check(t, len(e) <= 2*limit)
		}
	})
}
