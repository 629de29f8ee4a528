//go:build linux

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/galenalatch/galenalatch"
)

// send makes a call and returns an error for a status from 300 on.
func send(method, url, token string, body []byte, header ...string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readyBound)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set("Content-Type", "application/json")
	for _, h := range header {
		k, v, _ := strings.Cut(h, ":")
		r.Header.Set(k, strings.TrimSpace(v))
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode >= 300 {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	return resp.StatusCode, string(data), err
}

func (s *scenario) sendPlatform(method, path string, body []byte) error {
	_, _, err := send(method, "http://"+s.fleet.standin.Platform.Listen+path, tokens["GALENALATCH_PLATFORM_TOKEN"], body)
	return err
}

// platform replaces the failures of the platform: platform JSON.
func (s *scenario) platform(_ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: platform json")
	}
	return s.sendPlatform(http.MethodPut, "/control", []byte(args[0]))
}

// failures changes the failures of stand-ins: failures JSON PATTERN...
func (s *scenario) failures(_ *testscript.TestScript, args []string) error {
	return s.control("/control/failures", args)
}

// turnCold restarts stand-ins in place: turncold PATTERN...
func (s *scenario) turnCold(_ *testscript.TestScript, args []string) error {
	return s.control("/control/cold", append([]string{""}, args...))
}

func (s *scenario) control(path string, args []string) error {
	if len(args) < 2 {
		return errors.New("the names of the stand-ins are missing")
	}
	names, err := s.names(args[1:]...)
	if err != nil {
		return err
	}
	for _, n := range names {
		i, err := s.server(n)
		if err != nil {
			return err
		}
		if _, _, err := send(http.MethodPost, "http://"+i.Address+path, "", []byte(args[0])); err != nil {
			return fmt.Errorf("%s: %w", n, err)
		}
	}
	return nil
}

// instance changes the platform's instance list:
// instance listed|leaving|removed NAME.
func (s *scenario) instance(_ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: instance listed|leaving|removed name")
	}
	i, err := s.server(args[1])
	if err != nil {
		return err
	}
	if args[0] == "removed" {
		return s.sendPlatform(http.MethodDelete, "/instances/"+i.ID, nil)
	}
	i.Leaving = args[0] == "leaving"
	data, err := json.Marshal(i)
	if err != nil {
		return err
	}
	return s.sendPlatform(http.MethodPut, "/instances/"+i.ID, data)
}

// request makes one call and prints the status and the body. A status from
// 300 on is an error: request caller|operator ROUTER METHOD PATH TOKEN
// [BODY|large:BYTES] [HEADER: VALUE]...
func (s *scenario) request(ts *testscript.TestScript, args []string) error {
	if len(args) < 5 {
		return errors.New("usage: request caller|operator router method path token [body] [header]...")
	}
	r, err := s.router(args[1])
	if err != nil {
		return err
	}
	address := map[string]string{
		"caller": r.Listen.Caller, "operator": r.Listen.Operator, "peer": r.Listen.Peer,
	}[args[0]]
	var body []byte
	if len(args) > 5 {
		body = []byte(args[5])
		if n, ok := strings.CutPrefix(args[5], "large:"); ok {
			size, err := strconv.Atoi(n)
			if err != nil {
				return err
			}
			body = bytes.Repeat([]byte("a"), size)
		}
	}
	token := args[4]
	switch {
	case token == "operator":
		token = tokens["GALENALATCH_OPERATOR_TOKEN"]
	case strings.HasPrefix(token, "w"):
		token = keyOf(galenalatch.WorkspaceName(token))
	}
	began := time.Now()
	status, text, err := send(args[2], "http://"+address+args[3], token, body, args[min(6, len(args)):]...)
	ts.Logf("%s took %v", args[3], time.Since(began).Round(time.Millisecond))
	_, _ = fmt.Fprintf(ts.Stdout(), "%d %s\n", status, text)
	return err
}

// cut parts the routers of two lists, or joins them again:
// cut on|off PATTERN[,PATTERN]... PATTERN[,PATTERN]...
func (s *scenario) cut(_ *testscript.TestScript, args []string) error {
	if len(args) != 3 {
		return errors.New("usage: cut on|off patterns patterns")
	}
	left, err := s.names(strings.Split(args[1], ",")...)
	if err != nil {
		return err
	}
	right, err := s.names(strings.Split(args[2], ",")...)
	if err != nil {
		return err
	}
	for _, a := range left {
		for _, b := range right {
			if err := errors.Join(s.block(a, b, args[0] == "on"), s.block(b, a, args[0] == "on")); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *scenario) block(at, other string, blocked bool) error {
	r, err := s.router(at)
	if err != nil || at == other {
		return err
	}
	url := fmt.Sprintf("http://%s/debug/links/%s?blocked=%t", r.Debug.Listen, other, blocked)
	_, _, err = send(http.MethodPut, url, tokens["GALENALATCH_OPERATOR_TOKEN"], nil)
	return err
}
