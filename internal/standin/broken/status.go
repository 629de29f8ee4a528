package broken

import "fmt"

// statusLines are status lines that are not valid, or that no client asked for.
var statusLines = []string{
	"HTTP/1.1 000 Trouble", "HTTP/1.1 000 ", "HTTP/1.1 000", "HTTP/1.0 000 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 +20 OK", "HTTP/1.1 -00 OK",
	"HTTP/1.1 600 Trouble", "HTTP/1.1 999 Trouble", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2OO OK",
	"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 OK\r", "HTTP/1.1 ",
	"HTTP/2.0 200 OK", "HTTP/9.9 200 OK", "HTTP/1.11 200 OK", "http/1.1 200 OK", " HTTP/1.1 200 OK", "200 OK", "",
}

// BrokenStatus returns answers with a broken status line before the lines of a sound
// answer, which has the fields, each with a line end, and the body.
func BrokenStatus(fields, body string) []Answer {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	var all []Answer
	for _, line := range statusLines {
		all = append(all,
			Answer{fmt.Sprintf("%q", line), line + "\r\n" + fields + length + "\r\n" + body},
			Answer{fmt.Sprintf("%q without length", line), line + "\r\n" + fields + "\r\n" + body},
			Answer{fmt.Sprintf("%q before a sound answer", line), line + "\r\n\r\n" + Sound(fields, body)},
			Answer{fmt.Sprintf("%q after an interim response", line), "HTTP/1.1 103 Early Hints\r\n\r\n" + line + "\r\n" + fields + length + "\r\n" + body},
		)
	}
	return all
}
