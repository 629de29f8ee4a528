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

// send makes an HTTP call and returns the status and body. A status of 300 or
// more is an error. Each header is NAME: VALUE.
func send(method, url, token string, body []byte, header ...string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
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

// platform replaces the injected failures of the platform stand-in:
// platform JSON.
func (s *scenario) platform(_ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: platform json")
	}
	return s.sendPlatform(http.MethodPut, "/control", []byte(args[0]))
}

// failures changes the injected failures of backend server stand-ins:
// failures JSON PATTERN...
func (s *scenario) failures(_ *testscript.TestScript, args []string) error {
	return s.postControl("/control/failures", args)
}

// coldRestart restarts the simulated servers of stand-ins, which are then cold.
// The processes keep running: coldrestart PATTERN...
func (s *scenario) coldRestart(_ *testscript.TestScript, args []string) error {
	return s.postControl("/control/cold", append([]string{""}, args...))
}

// postControl posts args[0] to the control path of the stand-ins that match the
// patterns in the other arguments.
func (s *scenario) postControl(path string, args []string) error {
	if len(args) < 2 {
		return errors.New("no stand-ins named")
	}
	names, err := s.names(args[1:]...)
	if err != nil {
		return err
	}
	for _, n := range names {
		i, err := s.findInstance(n)
		if err != nil {
			return err
		}
		if _, _, err := send(http.MethodPost, "http://"+i.Address+path, "", []byte(args[0])); err != nil {
			return fmt.Errorf("%s: %w", n, err)
		}
	}
	return nil
}

// instance changes one entry of the platform's instance list:
// instance listed|leaving|removed NAME.
func (s *scenario) instance(_ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: instance listed|leaving|removed name")
	}
	i, err := s.findInstance(args[1])
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

// request makes one HTTP call and prints the status and body. A status of 300
// or more is an error. The token is "operator", a workspace name or the text of
// a token: request caller|operator|peer ROUTER METHOD PATH TOKEN
// [BODY|large:BYTES] [HEADER: VALUE]...
func (s *scenario) request(ts *testscript.TestScript, args []string) error {
	if len(args) < 5 {
		return errors.New("usage: request caller|operator|peer router method path token [body] [header]...")
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
		token = workspaceKey(galenalatch.WorkspaceName(token))
	}
	start := time.Now()
	status, text, err := send(args[2], "http://"+address+args[3], token, body, args[min(6, len(args)):]...)
	ts.Logf("%s took %v", args[3], time.Since(start).Round(time.Millisecond))
	_, _ = fmt.Fprintf(ts.Stdout(), "%d %s\n", status, text)
	return err
}

// partition blocks or restores the links between two sets of routers, in both
// directions: partition on|off PATTERN[,PATTERN]... PATTERN[,PATTERN]...
func (s *scenario) partition(_ *testscript.TestScript, args []string) error {
	if len(args) != 3 {
		return errors.New("usage: partition on|off patterns patterns")
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
			if err := errors.Join(s.setBlocked(a, b, args[0] == "on"), s.setBlocked(b, a, args[0] == "on")); err != nil {
				return err
			}
		}
	}
	return nil
}

// setBlocked blocks or restores the link of one router to another router.
func (s *scenario) setBlocked(name, other string, blocked bool) error {
	r, err := s.router(name)
	if err != nil || name == other {
		return err
	}
	url := fmt.Sprintf("http://%s/debug/links/%s?blocked=%t", r.Debug.Listen, other, blocked)
	_, _, err = send(http.MethodPut, url, tokens["GALENALATCH_OPERATOR_TOKEN"], nil)
	return err
}
