package broken

import "fmt"

// Answer holds the bytes of an answer with a line that HTTP/1.1 does not allow.
type Answer struct {
	Name  string
	Bytes string
}

const soundStatus = "HTTP/1.1 200 OK"

// Sound returns a sound answer, which has the fields, each with a line end, and the body.
func Sound(fields, body string) string {
	return fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n\r\n%s", soundStatus, fields, len(body), body)
}
