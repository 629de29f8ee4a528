// Package wire encodes the messages between routers in CBOR (RFC 8949).
//
// An envelope is an array of the type name of a message and its body; a body is
// a map with camel-case keys. A frame is an array of envelopes, so that
// messages that are queued at the same time share one WebSocket frame. An empty
// frame carries no message and serves as a heartbeat.
//
// Decoding is strict: unknown types and fields, duplicate keys, null, tags,
// indefinite lengths, trailing data and input above the size limits are errors.
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
	// MaxEnvelope is the largest envelope in bytes. The difference from
	// MaxFrame is reserved for the array head of a frame.
	MaxEnvelope = MaxFrame - maxArrayHeadBytes

	// maxArrayHeadBytes is the size of the largest CBOR array head.
	maxArrayHeadBytes = 9
	// maxNesting is two levels more than the deepest message, GossipRequest,
	// needs: frame, envelope, body, gossip, holders, holder, cell.
	maxNesting = 9
	// maxElements bounds the memory that a decoded frame of MaxFrame bytes
	// can use: a one-byte element can decode to a struct of 150 bytes.
	maxElements = 1 << 14
)

// envelope is a message with its type name.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Type string
	Body cbor.RawMessage
}

// Codec encodes and decodes messages. Its methods may be called concurrently.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// New returns a codec. An error means that the options of the CBOR library are
// invalid.
func New() (*Codec, error) {
	e := cbor.CoreDetEncOptions()
	e.NilContainers = cbor.NilContainerAsEmpty
	e.TagsMd = cbor.TagsForbidden
	enc, err := e.EncMode()
	if err != nil {
		return nil, fmt.Errorf("encoder options: %w", err)
	}
	// Reject null (22) and undefined (23), which the library would decode as
	// the zero value of any type.
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

// Encode returns the envelope of m. Errors are of KindTooLarge for an envelope
// above MaxEnvelope and of KindBadRequest otherwise.
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

// Decode returns the message of one envelope. Errors are of KindTooLarge for
// input above MaxEnvelope and of KindBadRequest otherwise.
func (c *Codec) Decode(b []byte) (galenalatch.Message, error) {
	if len(b) > MaxEnvelope {
		return nil, galenalatch.KindTooLarge.Errorf("envelope of %d bytes", len(b))
	}
	var e envelope
	if err := c.dec.Unmarshal(b, &e); err != nil {
		return nil, galenalatch.KindBadRequest.Errorf("envelope: %w", err)
	}
	return c.decodeBody(e)
}

func (c *Codec) decodeBody(e envelope) (galenalatch.Message, error) {
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

// AppendFrame appends a frame with the given envelopes to b. The sum of their
// sizes must not exceed MaxEnvelope.
func (c *Codec) AppendFrame(b []byte, envelopes [][]byte) []byte {
	// array is the CBOR major type 4.
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

// DecodeFrame returns the messages of one frame. Errors are of KindTooLarge for
// input above MaxFrame and of KindBadRequest otherwise; one invalid message
// makes the whole frame invalid.
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
		m, err := c.decodeBody(e)
		if err != nil {
			return nil, err
		}
		messages = append(messages, m)
	}
	return messages, nil
}

type decoder func(d cbor.DecMode, body []byte) (galenalatch.Message, error)

// decoders holds the decoder of each message type by type name. Other types are
// rejected.
var decoders = newDecoders(
	decoderOf[galenalatch.Hello], decoderOf[galenalatch.GossipRequest], decoderOf[galenalatch.Gossip], decoderOf[galenalatch.ChangesRequest],
	decoderOf[galenalatch.Changes], decoderOf[galenalatch.Report], decoderOf[galenalatch.Enqueue], decoderOf[galenalatch.Withdraw],
	decoderOf[galenalatch.Progress], decoderOf[galenalatch.Finish], decoderOf[galenalatch.Grant], decoderOf[galenalatch.Refuse],
	decoderOf[galenalatch.LeaseRequest], decoderOf[galenalatch.LeaseState], decoderOf[galenalatch.Summary], decoderOf[galenalatch.Lend],
	decoderOf[galenalatch.GiveBack], decoderOf[galenalatch.Handover], decoderOf[galenalatch.RouterLoad],
	decoderOf[galenalatch.DataCentreLoad], decoderOf[galenalatch.RemoteLoad],
	decoderOf[galenalatch.StoreAnswer], decoderOf[galenalatch.PromptSuspects],
)

func newDecoders(entries ...func() (string, decoder)) map[string]decoder {
	m := make(map[string]decoder, len(entries))
	for _, e := range entries {
		name, d := e()
		m[name] = d
	}
	return m
}

func decoderOf[T galenalatch.Message]() (string, decoder) {
	var zero T
	return zero.MessageType(), func(d cbor.DecMode, body []byte) (galenalatch.Message, error) {
		var m T
		if err := d.Unmarshal(body, &m); err != nil {
			return nil, err
		}
		return m, nil
	}
}
