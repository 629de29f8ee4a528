package broken

import (
	"fmt"
	"strings"
)

// fieldLines are lines that are no header field.
var fieldLines = []string{
	"X Trouble: 1", "X-Trouble : 1", "X-Trouble  : 1", "X-Trouble\t: 1", "X-Trouble\v: 1", " X-Trouble: 1", "\tX-Trouble: 1", "X-Tr\x01ouble: 1", "X-Trouble\x00: 1",
	"\x1fX-Trouble: 1", "X-Trouble\x7f: 1", "X-Tr\rouble: 1", "X-Trouble\r: 1", "X-Tr\u00f6uble: 1", "(X-Trouble): 1", ": 1", " : 1", "X-Trouble", " ", "\r",
	"X-Trouble: 1\r\n more", "X-Trouble: 1\x00", "X-Trouble: 1\r2",
}

// lengthLines would give the body its length if they were a field.
var lengthLines = []string{
	"Content-Length : %d", "Content-Length\t: %d", " Content-Length: %d", "\tContent-Length: %d", "Content Length: %d", "Content-Length\x00: %d", "\vContent-Length: %d",
	"X-Trouble:\r\n Content-Length: %d", "Content-Length\r\n : %d",
}

// chunkLines would give the body chunks.
var chunkLines = []string{
	"Transfer-Encoding : chunked", " Transfer-Encoding: chunked", "Transfer Encoding: chunked", "Transfer-Encoding\x01: chunked",
}

// BrokenField returns answers with a broken line among the fields of a sound answer,
// which has the fields, each with a line end, and the body. Where the line hides the length
// of the body, a second answer follows.
func BrokenField(fields, body string) []Answer {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	second := Sound(fields, body)
	var all []Answer
	add := func(line, framing, after string) {
		all = append(all,
			Answer{fmt.Sprintf("%q first", line), soundStatus + "\r\n" + line + "\r\n" + fields + framing + "\r\n" + after},
			Answer{fmt.Sprintf("%q last", line), soundStatus + "\r\n" + fields + framing + line + "\r\n\r\n" + after},
		)
	}
	for _, line := range fieldLines {
		add(line, length, body)
		add(line, "Transfer-Encoding: chunked\r\n", chunks)
		all = append(all, Answer{
			fmt.Sprintf("%q in an interim response", line), "HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n" + line + "\r\n\r\n" + second,
		})
	}
	for _, line := range lengthLines {
		add(fmt.Sprintf(line, len(body)), "", body+second)
		// Line feeds alone may end lines.
		add(strings.ReplaceAll(fmt.Sprintf(line, len(body)), "\r\n", "\n"), "", body+second)
	}
	for _, line := range chunkLines {
		add(line, "", chunks+second)
	}
	return all
}
