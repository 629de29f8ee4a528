package exchange

import (
	"errors"
	"fmt"
	"io"
)

// delimitedBody is a body that ends with its connection. It ends with io.EOF only if the
// server has closed the connection in order.
type delimitedBody struct {
	io.Reader
	upload *upload
}

// Read implements io.Reader.
func (b *delimitedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		if broken := b.upload.stop(); broken != nil {
			err = fmt.Errorf("the connection broke inside a body of unknown length: %w", broken)
		}
	}
	return n, err
}
