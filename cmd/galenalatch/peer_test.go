//go:build linux

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/coder/websocket"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/peer/wire"
)

// peer connects to a router's peer listener under a router name and sends one
// frame. It returns an error if the router refuses or closes the connection.
// The content "old" is a hello with protocol version 0:
// peer ROUTER TOKEN NAME hello|old|text|garbage|large.
func (s *scenario) peer(_ *testscript.TestScript, args []string) error {
	if len(args) != 4 {
		return errors.New("usage: peer router token name hello|old|text|garbage|large")
	}
	r, err := s.router(args[0])
	if err != nil {
		return err
	}
	frame, err := peerFrame(args[3], galenalatch.RouterID(args[2]))
	if err != nil {
		return err
	}
	token := args[1]
	if token == "peer" {
		token = tokens["GALENALATCH_PEER_TOKEN"]
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	c, resp, err := websocket.Dial(ctx, "ws://"+r.Listen.Peer+"/peer", &websocket.DialOptions{HTTPHeader: http.Header{
		"Authorization":      {"Bearer " + token},
		"Galenalatch-Router": {args[2]},
	}})
	if err != nil {
		if resp != nil {
			return fmt.Errorf("refused with status %d", resp.StatusCode)
		}
		return err
	}
	defer func() { _ = c.CloseNow() }()
	kind := websocket.MessageBinary
	if args[3] == "text" {
		kind = websocket.MessageText
	}
	if err := c.Write(ctx, kind, frame); err != nil {
		return err
	}
	_, _, err = c.Read(ctx)
	return err
}

// peerFrame returns the content of the frame that the peer command sends.
func peerFrame(content string, self galenalatch.RouterID) ([]byte, error) {
	switch content {
	case "text":
		return []byte("hello"), nil
	case "garbage":
		return []byte{0xff, 0x00, 0x9f}, nil
	case "large":
		return []byte(strings.Repeat("a", 1<<20)), nil
	}
	c, err := wire.New()
	if err != nil {
		return nil, err
	}
	h := galenalatch.Hello{Router: self, Start: "start", DataCentre: "a", Protocol: 1}
	if content == "old" {
		h.Protocol = 0
	}
	b, err := c.Encode(h)
	if err != nil {
		return nil, err
	}
	return c.AppendFrame(nil, [][]byte{b}), nil
}
