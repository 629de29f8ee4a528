package host

import (
	"errors"
	"io"

	"github.com/galenalatch/galenalatch/internal/backend/exchange"
)

// bufferedBody is the body of a response as far as it was buffered.
type bufferedBody struct {
	pieces [][]byte
	// size is the number of bytes, charged the memory charged for the pieces, which may
	// exceed size.
	size, charged int64
	// whole is set when the body has ended. short is set when there was no memory for
	// more of it.
	whole, short bool
}

// readAnswer buffers the body of a response, up to maxBufferedBody bytes and as far as
// there is memory for it. What the answer holds stays charged until it is released or the
// request ends.
func (t *transaction) readAnswer(a *exchange.Response) (bufferedBody, error) {
	var r bufferedBody
	size := int64(firstPiece)
	for r.size < maxBufferedBody {
		if a.Length >= 0 {
			size = min(max(a.Length-r.size, 1), maxAllocatedBody)
		}
		size = min(size, maxBufferedBody-r.size)
		if !t.account.TryCharge(size) {
			r.short = true
			return r, nil
		}
		r.charged += size
		piece := make([]byte, size)
		n, err := fill(a.Body, piece)
		r.pieces = append(r.pieces, piece[:n])
		r.size += int64(n)
		switch {
		case errors.Is(err, io.EOF):
			r.whole = r.size < maxBufferedBody
			return r, nil
		case err != nil:
			return r, err
		}
		size = min(2*size, maxAllocatedBody)
	}
	return r, nil
}

// write writes the buffered bytes.
func (a bufferedBody) write(w io.Writer) error {
	for _, p := range a.pieces {
		if _, err := w.Write(p); err != nil {
			return err
		}
	}
	return nil
}
