package rig2

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
)

// Memory is what a process holds, in bytes.
type Memory struct {
	// Resident is its resident memory, Anonymous the part of it that is not a file's.
	Resident, Anonymous int64
	// Unread are the bytes that were received for its callers and that it has not read
	// yet, in so many connections that it has accepted.
	Unread      int64
	Connections int
	// Queued is the same for connections that it has not accepted yet.
	Queued            int64
	QueuedConnections int
}

// Values in /proc/net/tcp: the state of a listener, and the inode of a socket that no
// process has open.
const (
	listening = "0A"
	noInode   = "0"
)

// Total returns the memory that counts towards the limit of a process.
func (m Memory) Total() int64 { return m.Resident + m.Unread + m.Queued }

// Memory returns what the process holds now.
func (g *Gateway) Memory() (Memory, error) {
	var m Memory
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.command.Process.Pid))
	if err != nil {
		return m, err
	}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		n, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		switch name {
		case "VmRSS":
			m.Resident = n << 10
		case "RssAnon":
			m.Anonymous = n << 10
		}
	}
	return m, g.addUnread(&m)
}

// addUnread adds the bytes in the receive queues of the connections of callers.
func (g *Gateway) addUnread(m *Memory) error {
	_, port, err := net.SplitHostPort(g.Caller)
	if err != nil {
		return err
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	local := fmt.Sprintf(":%04X", n)
	for s := bufio.NewScanner(f); s.Scan(); {
		// The fields are the number, the two addresses, the state, the queues, four more
		// and the inode.
		fields := strings.Fields(s.Text())
		if len(fields) < 10 || !strings.HasSuffix(fields[1], local) || fields[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		bytes, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return err
		}
		if fields[9] == noInode {
			m.Queued += bytes
			m.QueuedConnections++
			continue
		}
		m.Unread += bytes
		m.Connections++
	}
	return nil
}
