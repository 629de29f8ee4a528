package wire

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"github.com/galenalatch/galenalatch"
)

// samples returns one message of each type with all fields set.
func samples(t testing.TB) []galenalatch.Message {
	var list []galenalatch.Message
	for _, name := range slices.Sorted(maps.Keys(decoders)) {
		m, err := decoders[name](newCodec(t).dec, []byte{0xa0})
		assert.NilError(t, err)
		v := reflect.New(reflect.TypeOf(m)).Elem()
		n := 0
		setAllFields(v, &n)
		list = append(list, v.Interface().(galenalatch.Message))
	}
	return list
}

func setAllFields(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.String:
		v.SetString(fmt.Sprint("s", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*n) * 100)
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Struct:
		for i := range v.NumField() {
			setAllFields(v.Field(i), n)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range 2 {
			setAllFields(v.Index(i), n)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range 2 {
			k, e := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			setAllFields(k, n)
			setAllFields(e, n)
			v.SetMapIndex(k, e)
		}
	}
}

func newCodec(t testing.TB) *Codec {
	c, err := New()
	assert.NilError(t, err)
	return c
}

// Guards against a change of the encoding that routers of other versions cannot
// decode.
func TestEncodingUnchanged(t *testing.T) {
	c := newCodec(t)
	var out strings.Builder
	for _, m := range samples(t) {
		b, err := c.Encode(m)
		assert.NilError(t, err)
		d, err := cbor.Diagnose(b)
		assert.NilError(t, err)
		fmt.Fprintf(&out, "%s\n%s\n", d, hex.EncodeToString(b))
		back, err := c.Decode(b)
		assert.NilError(t, err)
		assert.DeepEqual(t, back, m)
	}
	golden.Assert(t, out.String(), "messages.golden")
}

// Guards against values that encoding or decoding changes or rejects, and
// against different encodings of the same message.
func TestRoundTrip(t *testing.T) {
	c := newCodec(t)
	var kinds []*rapid.Generator[galenalatch.Message]
	add := func(g *rapid.Generator[galenalatch.Message]) { kinds = append(kinds, g) }
	add(asMessage[galenalatch.Hello]())
	add(asMessage[galenalatch.GossipRequest]())
	add(asMessage[galenalatch.Changes]())
	add(asMessage[galenalatch.Report]())
	add(asMessage[galenalatch.Progress]())
	add(asMessage[galenalatch.Finish]())
	add(asMessage[galenalatch.Grant]())
	add(asMessage[galenalatch.Handover]())
	rapid.Check(t, func(t *rapid.T) {
		messages := rapid.SliceOfN(rapid.OneOf(kinds...), 0, 40).Draw(t, "messages")
		var envelopes [][]byte
		for _, m := range messages {
			b, err := c.Encode(m)
			assert.NilError(t, err)
			envelopes = append(envelopes, b)
		}
		back, err := c.DecodeFrame(c.AppendFrame(nil, envelopes))
		assert.NilError(t, err)
		assert.Equal(t, len(back), len(messages))
		for i, m := range back {
			b, err := c.Encode(m)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(b, envelopes[i]))
			assert.Equal(t, reflect.TypeOf(m), reflect.TypeOf(messages[i]))
		}
	})
}

func asMessage[T galenalatch.Message]() *rapid.Generator[galenalatch.Message] {
	return rapid.Map(rapid.Make[T](), func(m T) galenalatch.Message { return m })
}

// Guards against array heads that are wrong for the number of messages: the CBOR
// head is longer from 24 and from 256 elements on.
func TestFrameArrayHeads(t *testing.T) {
	c := newCodec(t)
	b, err := c.Encode(galenalatch.ChangesRequest{After: 1})
	assert.NilError(t, err)
	for _, n := range []int{0, 1, 23, 24, 255, 256, 5000} {
		m, err := c.DecodeFrame(c.AppendFrame(nil, slices.Repeat([][]byte{b}, n)))
		assert.NilError(t, err)
		assert.Equal(t, len(m), n)
	}
}

// Guards against invalid frames that are accepted, and against errors of the
// wrong kind.
func TestInvalidFramesRejected(t *testing.T) {
	c := newCodec(t)
	deep := bytes.Repeat([]byte{0x81}, 20)
	for _, r := range []struct {
		name  string
		frame []byte
		kind  galenalatch.Kind
	}{
		{"empty", nil, galenalatch.KindBadRequest},
		{"no array", fromHex("a0"), galenalatch.KindBadRequest},
		{"unknown type", fromHex("8182" + hexText("other") + "a0"), galenalatch.KindBadRequest},
		{"type name not a string", fromHex("818201a0"), galenalatch.KindBadRequest},
		{"unknown field", fromHex("8182" + hexText("changesAsk") + "a1" + hexText("other") + "01"), galenalatch.KindBadRequest},
		{"field name in other case", fromHex("8182" + hexText("changesAsk") + "a1" + hexText("After") + "01"), galenalatch.KindBadRequest},
		{"wrong type of field", fromHex("8182" + hexText("changesAsk") + "a1" + hexText("after") + "6131"), galenalatch.KindBadRequest},
		{"negative version", fromHex("8182" + hexText("changesAsk") + "a1" + hexText("after") + "20"), galenalatch.KindBadRequest},
		{"null field", fromHex("8182" + hexText("changesAsk") + "a1" + hexText("after") + "f6"), galenalatch.KindBadRequest},
		{"null body", fromHex("8182" + hexText("changesAsk") + "f6"), galenalatch.KindBadRequest},
		{"duplicate field", fromHex("8182" + hexText("changesAsk") + "a2" + hexText("after") + "01" + hexText("after") + "02"), galenalatch.KindBadRequest},
		{"trailing data", fromHex("8182" + hexText("changesAsk") + "a1" + hexText("after") + "0100"), galenalatch.KindBadRequest},
		{"truncated", fromHex("8182" + hexText("changesAsk") + "a1" + hexText("after")), galenalatch.KindBadRequest},
		{"third element", fromHex("8183" + hexText("changesAsk") + "a1" + hexText("after") + "0101"), galenalatch.KindBadRequest},
		{"indefinite length", fromHex("9f82" + hexText("changesAsk") + "a1" + hexText("after") + "01ff"), galenalatch.KindBadRequest},
		{"tag", fromHex("8182" + hexText("changesAsk") + "a1" + hexText("after") + "c101"), galenalatch.KindBadRequest},
		{"invalid text", fromHex("8182" + hexText("changesAsk") + "a161ff01"), galenalatch.KindBadRequest},
		{"nested too deeply", append(deep, 0x80), galenalatch.KindBadRequest},
		{"array too long", append([]byte{0x99, 0x40, 0x01}, bytes.Repeat([]byte{0}, maxElements+1)...), galenalatch.KindBadRequest},
		{"too large", make([]byte, MaxFrame+1), galenalatch.KindTooLarge},
	} {
		t.Run(r.name, func(t *testing.T) {
			_, err := c.DecodeFrame(r.frame)
			assert.Assert(t, err != nil)
			assert.Equal(t, galenalatch.KindOf(err), r.kind, "%v", err)
		})
	}
	_, err := c.Encode(galenalatch.Changes{Changes: [][]byte{make([]byte, MaxEnvelope)}})
	assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindTooLarge)
	_, err = c.Encode(nil)
	assert.Equal(t, galenalatch.KindOf(err), galenalatch.KindBadRequest)
}

// fromHex returns the bytes of a string of hexadecimal digits.
func fromHex(s string) []byte {
	b, _ := hex.DecodeString(s)
	return b
}

// hexText returns the CBOR encoding, in hexadecimal, of a text shorter than 24
// bytes.
func hexText(s string) string {
	return fmt.Sprintf("%02x%x", 0x60+len(s), s)
}

// Guards against panics on arbitrary input, and against accepted messages whose
// encoding changes when they are decoded and encoded again.
func FuzzDecodeFrame(f *testing.F) {
	c := newCodec(f)
	for _, m := range samples(f) {
		b, err := c.Encode(m)
		assert.NilError(f, err)
		f.Add(c.AppendFrame(nil, [][]byte{b, b}))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		messages, err := c.DecodeFrame(b)
		if err != nil {
			return
		}
		for _, m := range messages {
			e, err := c.Encode(m)
			assert.NilError(t, err)
			again, err := c.Decode(e)
			assert.NilError(t, err)
			e2, err := c.Encode(again)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(e, e2))
		}
	})
}
