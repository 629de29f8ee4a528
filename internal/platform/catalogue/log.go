package catalogue

import "github.com/galenalatch/galenalatch"

// Bounds of the changes that are kept in memory for peers.
const (
	maxLogged      = 1000
	maxLoggedBytes = 4 << 20
)

// changeLog holds the newest encoded changes, without gaps.
type changeLog struct {
	first   galenalatch.Version
	changes [][]byte
	bytes   int
}

func (l *changeLog) add(v galenalatch.Version, encoded []byte) {
	if len(l.changes) == 0 {
		l.first = v
	}
	l.changes = append(l.changes, encoded)
	l.bytes += len(encoded)
	for len(l.changes) > maxLogged || l.bytes > maxLoggedBytes {
		l.bytes -= len(l.changes[0])
		l.changes[0] = nil
		l.changes = l.changes[1:]
		l.first++
	}
}

func (l *changeLog) at(v galenalatch.Version) ([]byte, bool) {
	if v < l.first || v >= l.first+galenalatch.Version(len(l.changes)) {
		return nil, false
	}
	return l.changes[v-l.first], true
}

// after returns the changes after version v, at most size bytes of them, but
// at least one.
func (l *changeLog) after(v galenalatch.Version, size int) [][]byte {
	var list [][]byte
	for v++; ; v++ {
		c, ok := l.at(v)
		if size -= len(c); !ok || size < 0 && len(list) > 0 {
			return list
		}
		list = append(list, c)
	}
}
