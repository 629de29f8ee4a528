package exchange

import (
	"testing"

	"github.com/galenalatch/galenalatch/internal/standin/broken"
)

// Guards against a body that ends somewhere else than its server meant, since the fields
// with its length contradict each other or are not valid.
func TestFaultyLength(t *testing.T) {
	const chunks = "4\r\nbody\r\n0\r\n\r\n"
	tests := []struct{ name, version, fields, body string }{
		{"two lengths", "1.1", "Content-Length: 4\r\nContent-Length: 5\r\n", "body"},
		{"list of lengths", "1.1", "Content-Length: 4, 5\r\n", "body"},
		{"no number", "1.1", "Content-Length: four\r\n", "body"},
		{"sign", "1.1", "Content-Length: +4\r\n", "body"},
		{"empty length", "1.1", "Content-Length: \r\n", "body"},
		{"huge length", "1.1", "Content-Length: 99999999999999999999\r\n", "body"},
		{"unknown encoding", "1.1", "Transfer-Encoding: gzip\r\n", "body"},
		{"two encodings", "1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunks},
		{"chunks in HTTP/1.0", "1.0", "Transfer-Encoding: chunked\r\n", chunks},
		{"chunks in HTTP/1.0, lower case", "1.0", "transfer-encoding:chunked\r\n", chunks},
		{"chunks with a length in HTTP/1.0", "1.0", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "body"},
	}
	for _, tt := range tests {
		expectErrors(t, []broken.Answer{{Name: tt.name, Bytes: "HTTP/" + tt.version + " 200 OK\r\n" + brokenFields + tt.fields + "\r\n" + tt.body}})
	}
}
