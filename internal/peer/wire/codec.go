// Package wire encodes the messages between routers in CBOR (RFC 8949).
//
// An envelope is an array of the message's type name and its body; a body is
// a map with camel-case keys. A frame is an array of envelopes, so that
// messages that wait together share the framing of the connection. An empty
// frame carries no message and serves as a heartbeat.
//
// Decoding is strict: unknown types and fields, duplicate keys, null, tags,
// indefinite lengths, trailing data and everything over the size limits are
// errors.
package wire

import (
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenalatch/galenalatch"
)

const (
	// MaxFrame is the largest frame in bytes.
	MaxFrame = 256 << 10
	// MaxEnvelope is the largest envelope in bytes. The difference is the
	// room for the head of a frame.
	MaxEnvelope = MaxFrame - maxHead

	// maxHead is the size of the largest CBOR array head.
	maxHead = 9
	// maxNesting leaves two levels above the deepest message, GossipAsk:
	// frame, envelope, body, gossip, holders, holder, cell.
	maxNesting = 9
	// maxElements bounds the memory that a decoded frame of MaxFrame bytes
	// can take: a one-byte element can stand for a record of 150 bytes.
	maxElements = 1 << 14
)

// envelope is a message with its type name.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Type string
	Body cbor.RawMessage
}

// Codec encodes and decodes messages. It may be used concurrently.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// New returns a codec.
func New() (*Codec, error) {
	e := cbor.CoreDetEncOptions()
	e.NilContainers = cbor.NilContainerAsEmpty
	e.TagsMd = cbor.TagsForbidden
	enc, err := e.EncMode()
	if err != nil {
		return nil, fmt.Errorf("encoder options: %w", err)
	}
	// Null would be decoded as the zero value of any type.
	simple, err := cbor.NewSimpleValueRegistryFromDefaults(
		cbor.WithRejectedSimpleValue(22), cbor.WithRejectedSimpleValue(23))
	if err != nil {
		return nil, fmt.Errorf("simple values: %w", err)
	}
	dec, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		SimpleValues:      simple,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("decoder options: %w", err)
	}
	return &Codec{enc, dec}, nil
}

// Encode returns the envelope of m.
func (c *Codec) Encode(m galenalatch.Message) ([]byte, error) {
	if m == nil {
		return nil, galenalatch.KindBadRequest.Errorf("no message")
	}
	if _, ok := decoders[m.MessageType()]; !ok {
		return nil, galenalatch.KindBadRequest.Errorf("unknown message type %.64q", m.MessageType())
	}
	body, err := c.enc.Marshal(m)
	if err != nil {
		return nil, galenalatch.KindBadRequest.Errorf("encoding %s: %w", m.MessageType(), err)
	}
	b, err := c.enc.Marshal(envelope{Type: m.MessageType(), Body: body})
	if err != nil {
		return nil, galenalatch.KindBadRequest.Errorf("encoding %s: %w", m.MessageType(), err)
	}
	if len(b) > MaxEnvelope {
		return nil, galenalatch.KindTooLarge.Errorf("%s of %d bytes", m.MessageType(), len(b))
	}
	return b, nil
}

// Decode returns the message of one envelope.
func (c *Codec) Decode(b []byte) (galenalatch.Message, error) {
	if len(b) > MaxEnvelope {
		return nil, galenalatch.KindTooLarge.Errorf("envelope of %d bytes", len(b))
	}
	var e envelope
	if err := c.dec.Unmarshal(b, &e); err != nil {
		return nil, galenalatch.KindBadRequest.Errorf("envelope: %w", err)
	}
	return c.open(e)
}

func (c *Codec) open(e envelope) (galenalatch.Message, error) {
	d, ok := decoders[e.Type]
	if !ok {
		return nil, galenalatch.KindBadRequest.Errorf("unknown message type %.64q", e.Type)
	}
	m, err := d(c.dec, e.Body)
	if err != nil {
		return nil, galenalatch.KindBadRequest.Errorf("%s: %w", e.Type, err)
	}
	return m, nil
}

// AppendFrame appends the frame of the envelopes to b. The caller keeps the
// sum of their sizes within MaxEnvelope.
func (c *Codec) AppendFrame(b []byte, envelopes [][]byte) []byte {
	const array = 4 << 5
	switch n := len(envelopes); {
	case n < 24:
		b = append(b, array|byte(n))
	case n < 1<<8:
		b = append(b, array|24, byte(n))
	case n < 1<<16:
		b = binary.BigEndian.AppendUint16(append(b, array|25), uint16(n))
	default:
		b = binary.BigEndian.AppendUint32(append(b, array|26), uint32(n))
	}
	for _, e := range envelopes {
		b = append(b, e...)
	}
	return b
}

// DecodeFrame returns the messages of one frame.
func (c *Codec) DecodeFrame(b []byte) ([]galenalatch.Message, error) {
	if len(b) > MaxFrame {
		return nil, galenalatch.KindTooLarge.Errorf("frame of %d bytes", len(b))
	}
	var envelopes []envelope
	if err := c.dec.Unmarshal(b, &envelopes); err != nil {
		return nil, galenalatch.KindBadRequest.Errorf("frame: %w", err)
	}
	messages := make([]galenalatch.Message, 0, len(envelopes))
	for _, e := range envelopes {
		m, err := c.open(e)
		if err != nil {
			return nil, err
		}
		messages = append(messages, m)
	}
	return messages, nil
}

type decoder func(d cbor.DecMode, body []byte) (galenalatch.Message, error)

// decoders is the closed list of messages by type name.
var decoders = list(
	of[galenalatch.Hello], of[galenalatch.GossipAsk], of[galenalatch.Gossip], of[galenalatch.ChangesAsk],
	of[galenalatch.Changes], of[galenalatch.Report], of[galenalatch.Enqueue], of[galenalatch.Withdraw],
	of[galenalatch.Progress], of[galenalatch.Finish], of[galenalatch.Grant], of[galenalatch.Refuse],
	of[galenalatch.LeaseAsk], of[galenalatch.LeaseState], of[galenalatch.Summary], of[galenalatch.Lend],
	of[galenalatch.GiveBack], of[galenalatch.Handover], of[galenalatch.RouterUse],
	of[galenalatch.DataCentreUse], of[galenalatch.ElsewhereUse],
	of[galenalatch.StoreAnswer],
)

func list(entries ...func() (string, decoder)) map[string]decoder {
	m := make(map[string]decoder, len(entries))
	for _, e := range entries {
		name, d := e()
		m[name] = d
	}
	return m
}

func of[T galenalatch.Message]() (string, decoder) {
	var zero T
	return zero.MessageType(), func(d cbor.DecMode, body []byte) (galenalatch.Message, error) {
		var m T
		if err := d.Unmarshal(body, &m); err != nil {
			return nil, err
		}
		return m, nil
	}
}
