// Package framing tells how the end of the body of an HTTP/1 response is found.
package framing

import "net/http"

// HasEnd reports whether the body of a response has a length or chunks, so that its end
// differs from that of a broken connection.
func HasEnd(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Body == http.NoBody
}
