package connection

import "slices"

// list is a bounded set of idle values by key.
type list[K, V comparable] struct {
	perKey int
	total  int
	count  int
	values map[K][]V
}

func newList[K, V comparable](perKey, total int) *list[K, V] {
	return &list[K, V]{perKey: perKey, total: total, values: make(map[K][]V)}
}

// push adds v and reports whether there was room for it.
func (l *list[K, V]) push(k K, v V) bool {
	if l.count >= l.total || len(l.values[k]) >= l.perKey {
		return false
	}
	l.values[k] = append(l.values[k], v)
	l.count++
	return true
}

// pop takes the value of k that was added last.
func (l *list[K, V]) pop(k K) (V, bool) {
	var none V
	s := l.values[k]
	if len(s) == 0 {
		return none, false
	}
	v := s[len(s)-1]
	l.set(k, slices.Delete(s, len(s)-1, len(s)))
	return v, true
}

// remove takes v out and reports whether it was there.
func (l *list[K, V]) remove(k K, v V) bool {
	i := slices.Index(l.values[k], v)
	if i < 0 {
		return false
	}
	l.set(k, slices.Delete(l.values[k], i, i+1))
	return true
}

// set replaces the values of k after one of them was taken.
func (l *list[K, V]) set(k K, s []V) {
	l.count--
	if len(s) == 0 {
		delete(l.values, k)
		return
	}
	l.values[k] = s
}

// drain takes all values.
func (l *list[K, V]) drain() []V {
	var all []V
	for _, s := range l.values {
		all = append(all, s...)
	}
	l.values = make(map[K][]V)
	l.count = 0
	return all
}
