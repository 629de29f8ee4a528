package connection

import "slices"

// idleList is a bounded set of values, each under a key. It returns the most
// recently added value of a key first.
type idleList[K, V comparable] struct {
	perKey int
	total  int
	count  int
	values map[K][]V
}

func newIdleList[K, V comparable](perKey, total int) *idleList[K, V] {
	return &idleList[K, V]{perKey: perKey, total: total, values: make(map[K][]V)}
}

// push adds v under k. It reports false if the list is full.
func (l *idleList[K, V]) push(k K, v V) bool {
	if l.count >= l.total || len(l.values[k]) >= l.perKey {
		return false
	}
	l.values[k] = append(l.values[k], v)
	l.count++
	return true
}

// pop removes and returns the most recently added value of k.
func (l *idleList[K, V]) pop(k K) (V, bool) {
	var none V
	s := l.values[k]
	if len(s) == 0 {
		return none, false
	}
	v := s[len(s)-1]
	l.setRemaining(k, slices.Delete(s, len(s)-1, len(s)))
	return v, true
}

// remove removes v and reports whether it was in the list.
func (l *idleList[K, V]) remove(k K, v V) bool {
	i := slices.Index(l.values[k], v)
	if i < 0 {
		return false
	}
	l.setRemaining(k, slices.Delete(l.values[k], i, i+1))
	return true
}

// setRemaining replaces the values of k after one of them was removed.
func (l *idleList[K, V]) setRemaining(k K, s []V) {
	l.count--
	if len(s) == 0 {
		delete(l.values, k)
		return
	}
	l.values[k] = s
}

// drain removes and returns all values.
func (l *idleList[K, V]) drain() []V {
	var all []V
	for _, s := range l.values {
		all = append(all, s...)
	}
	l.values = make(map[K][]V)
	l.count = 0
	return all
}
