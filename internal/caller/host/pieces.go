package host

import (
	"errors"
	"io"
)

const (
	// maxAllocatedBody bounds, in bytes, the memory that is allocated for a body before
	// any of it arrives. It is also the size of later pieces of a body.
	maxAllocatedBody = 32 << 10
	// firstPiece is the size of the first piece of a body of unknown length, in bytes.
	// Later ones double up to maxAllocatedBody.
	firstPiece = 4 << 10
)

// readPieces reads the body of the request in pieces that are charged before they are
// allocated.
func (t *transaction) readPieces(body io.Reader) ([][]byte, error) {
	pieces := t.firstPiece[:0]
	size, left := int64(maxAllocatedBody), t.r.ContentLength
	if left < 0 {
		size = firstPiece
	}
	for left != 0 {
		if left > 0 {
			size = min(size, left)
		}
		if err := t.chargePiece(size, len(pieces) == 0); err != nil {
			return nil, err
		}
		piece := make([]byte, size)
		n, err := fill(body, piece)
		if n > 0 {
			pieces = append(pieces, piece[:n])
		}
		if left > 0 {
			left -= int64(n)
		}
		switch {
		case errors.Is(err, io.EOF) && left > 0:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return pieces, nil
		case err != nil:
			return nil, err
		}
		size = min(2*size, maxAllocatedBody)
	}
	return pieces, nil
}

// chargePiece charges a piece of the body.
func (t *transaction) chargePiece(size int64, first bool) error {
	if first {
		return t.account.BeginBody(t.arrival, t.decision.Workspace, size)
	}
	return t.account.Charge(size)
}

// fill reads until b is full. Its error is that of the reader, which is io.EOF at the
// end.
func fill(r io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var k int
		k, err = r.Read(b[n:])
		n += k
	}
	return n, err
}
