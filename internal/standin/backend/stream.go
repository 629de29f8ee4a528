package backend

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// GarbledRunTime is how long a server works on a request after a garbled response.
const GarbledRunTime = 700 * time.Millisecond

// garble sends one event and bytes that are no chunk, and works on.
func (s *Server) garble(c net.Conn, id, header string) {
	s.setWorking(id, true)
	event := s.event(1)
	s.write(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+
		fmt.Sprintf("%x\r\n%s\r\n", len(event), event)+"no chunk\r\n")
	time.Sleep(GarbledRunTime)
	s.setWorking(id, false)
}

// event returns an event of a stream.
func (s *Server) event(n int) string {
	version := ""
	if s.Version != "" {
		version = " of " + s.Version
	}
	return fmt.Sprintf("id: %d\ndata: piece %d%s\n\n", n, n, version)
}

func (s *Server) setWorking(id string, working bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !working {
		delete(s.working, id)
		return
	}
	s.working[id] = true
}

// report returns a response that lists the requests of garbled responses that the
// server works on.
func (s *Server) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := strings.Join(slices.Collect(maps.Keys(s.working)), " ")
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(ids), ids)
}

// trickleInterval is the time between two pieces of a response that trickles.
const trickleInterval = 20 * time.Millisecond

// endlessPiece is repeated in responses without end.
var endlessPiece = strings.Repeat("x", 32<<10)

// writeEndless sends the start of a response, and then a piece again and again
// until the caller closes the connection.
func (s *Server) writeEndless(c net.Conn, start, piece string, pause time.Duration) bool {
	for ok := s.write(c, start); ok; ok = s.write(c, piece) {
		time.Sleep(pause)
	}
	return false
}

// streamFaults selects the failures of a stream: truncate breaks it off inside its
// second event, unframed sends neither a length nor chunks.
type streamFaults struct {
	truncate, unframed bool
	// end ends the server after the first event.
	end bool
}

// stream sends the events after the last one that the caller has received.
func (s *Server) stream(c net.Conn, r *http.Request, header string, f streamFaults) bool {
	// Without a valid number the stream starts at event 1.
	lastEvent, _ := strconv.Atoi(r.Header.Get(s.headerNames.LastEvent))
	framing, piece := "Transfer-Encoding: chunked\r\n", func(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }
	if f.unframed {
		framing, piece = "Connection: close\r\n", func(data string) string { return data }
	}
	if !s.write(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Type: text/event-stream\r\n"+framing+"\r\n") {
		return false
	}
	if s.crashes(r) {
		s.crash()
		return false
	}
	for i := lastEvent + 1; i <= s.Events; i++ {
		event := s.event(i)
		if f.truncate && i == lastEvent+2 {
			event = event[:len(event)-4]
		}
		if !s.write(c, piece(event)) || f.truncate && i == lastEvent+2 {
			return false
		}
		if f.end {
			s.crash()
			return false
		}
		time.Sleep(s.Gap)
	}
	return !f.unframed && s.write(c, "0\r\n\r\n")
}
