package rig2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Answer is what a caller got.
type Answer struct {
	ID     string
	Status int
	Seal   string
	Body   string
	// Whole is set when the answer ended as complete.
	Whole bool
	Err   error
	// Address is that of the gateway. Sent is when the call began, Ended when the answer
	// or the connection ended.
	Address     string
	Sent, Ended time.Time
}

// Events returns the number of events in the body.
func (a Answer) Events() int { return strings.Count(a.Body, "\n\n") }

// Call sends one request on a new connection and reads its answer.
func Call(address, method, path string, header map[string]string, body string, limit time.Duration) Answer {
	sent := time.Now()
	a := exchange(address, method, path, header, body, limit)
	a.Address, a.Sent, a.Ended = address, sent, time.Now()
	return a
}

func exchange(address, method, path string, header map[string]string, body string, limit time.Duration) Answer {
	a := Answer{ID: header["Attempt-Id"]}
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(limit))
	var s strings.Builder
	fmt.Fprintf(&s, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", method, path, Host, len(body))
	for k, v := range header {
		fmt.Fprintf(&s, "%s: %s\r\n", k, v)
	}
	s.WriteString("\r\n" + body)
	if _, err := io.WriteString(c, s.String()); err != nil {
		a.Err = err
		return a
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		a.Err = err
		return a
	}
	a.Status, a.Seal = r.StatusCode, r.Header.Get("Response-Seal")
	text, err := io.ReadAll(r.Body)
	a.Body, a.Err = string(text), err
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	a.Whole = err == nil && framed
	if err == nil && !framed {
		a.Err = errors.New("the answer has no framing")
	}
	return a
}
