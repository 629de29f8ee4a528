package catalogue

import "github.com/galenalatch/galenalatch"

// Bounds of the changes that are kept in memory for other routers.
const (
	maxLogChanges = 1000
	maxLogBytes   = 4 << 20
)

// changeLog holds the newest encoded changes. Their versions are consecutive;
// first is the version of changes[0], and bytes is their total size.
type changeLog struct {
	first   galenalatch.Version
	changes [][]byte
	bytes   int
}

// add appends the change of version v and drops the oldest changes beyond the
// bounds.
func (l *changeLog) add(v galenalatch.Version, encoded []byte) {
	if len(l.changes) == 0 {
		l.first = v
	}
	l.changes = append(l.changes, encoded)
	l.bytes += len(encoded)
	for len(l.changes) > maxLogChanges || l.bytes > maxLogBytes {
		l.bytes -= len(l.changes[0])
		l.changes[0] = nil
		l.changes = l.changes[1:]
		l.first++
	}
}

// at returns the encoded change of version v and whether the log holds it.
func (l *changeLog) at(v galenalatch.Version) ([]byte, bool) {
	if v < l.first || v >= l.first+galenalatch.Version(len(l.changes)) {
		return nil, false
	}
	return l.changes[v-l.first], true
}

// after returns the changes after version v with at most size bytes in total,
// but at least one change if there is any.
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
