package galenalatch

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
)

// Key returns the workspace and class that identify the entry.
func (e Entry) Key() EntryKey {
	return EntryKey{Workspace: e.Workspace, Class: e.Class}
}

// WithChange returns the catalogue that results from applying ch to c, which is
// not modified. Lists are sorted by key. An item that ch both removes and puts
// is in the result.
func (c Catalogue) WithChange(ch Change) Catalogue {
	c.Version = ch.Version
	c.Pools = merge(c.Pools, ch.PutPools, ch.RemovePools, poolKey, cmp.Compare)
	c.Workspaces = merge(c.Workspaces, ch.PutWorkspaces, ch.RemoveWorkspaces, workspaceKey, cmp.Compare)
	c.Entries = merge(c.Entries, ch.PutEntries, ch.RemoveEntries, Entry.Key, compareEntryKeys)
	c.OutOfService = merge(c.OutOfService, ch.PutOut, ch.RemoveOut, identity, cmp.Compare)
	c.ServersOut = merge(c.ServersOut, ch.PutServersOut, ch.RemoveServersOut, identity, cmp.Compare)
	if ch.DefaultLimits != nil {
		c.DefaultLimits = *ch.DefaultLimits
	}
	if r := merge(c.Routers, ch.PutRouters, ch.RemoveRouters, identity, cmp.Compare); !slices.Equal(r, c.Routers) {
		c.Routers, c.PreviousRouters = r, c.Routers
	}
	return c
}

// Diff returns the change that turns from into to. It has the version of to, and
// neither id, author nor time. It never changes the routers, because a rollback
// to an older configuration must not bring back an older list of routers.
func Diff(from, to Catalogue) Change {
	ch := Change{Version: to.Version}
	ch.PutPools, ch.RemovePools = diff(from.Pools, to.Pools, poolKey, cmp.Compare)
	ch.PutWorkspaces, ch.RemoveWorkspaces = diff(from.Workspaces, to.Workspaces, workspaceKey, cmp.Compare)
	ch.PutEntries, ch.RemoveEntries = diff(from.Entries, to.Entries, Entry.Key, compareEntryKeys)
	ch.PutOut, ch.RemoveOut = diff(from.OutOfService, to.OutOfService, identity, cmp.Compare)
	ch.PutServersOut, ch.RemoveServersOut = diff(from.ServersOut, to.ServersOut, identity, cmp.Compare)
	if from.DefaultLimits != to.DefaultLimits {
		ch.DefaultLimits = &to.DefaultLimits
	}
	return ch
}

func poolKey(p Pool) PoolName                { return p.Name }
func workspaceKey(w Workspace) WorkspaceName { return w.Name }
func identity[T any](v T) T                  { return v }

func compareEntryKeys(a, b EntryKey) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
}

func byKey[T any, K comparable](list []T, key func(T) K) map[K]T {
	m := make(map[K]T, len(list))
	for _, v := range list {
		m[key(v)] = v
	}
	return m
}

// merge returns old with the put items and without the removed ones, sorted by
// key. An unchanged sorted list is returned without a copy: most changes concern
// one list, and the lists of a large fleet have 10,000 items.
func merge[T any, K comparable](old, put []T, remove []K, key func(T) K, compare func(a, b K) int) []T {
	order := func(a, b T) int { return compare(key(a), key(b)) }
	changed := byKey(put, key)
	if len(changed) == 0 && len(remove) == 0 && slices.IsSortedFunc(old, order) {
		return old
	}
	removed := byKey(remove, identity)
	merged := make([]T, 0, len(old)+len(changed))
	for _, v := range old {
		k := key(v)
		_, isPut := changed[k]
		_, isRemoved := removed[k]
		if !isPut && !isRemoved {
			merged = append(merged, v)
		}
	}
	for _, v := range changed {
		merged = append(merged, v)
	}
	if len(merged) == 0 {
		return nil
	}
	slices.SortFunc(merged, order)
	return merged
}

// diff returns the items of to that from lacks or holds with another value, and
// the keys of from that to lacks, both sorted by key.
func diff[T any, K comparable](from, to []T, key func(T) K, compare func(a, b K) int) (put []T, remove []K) {
	before, after := byKey(from, key), byKey(to, key)
	for _, k := range slices.SortedFunc(maps.Keys(after), compare) {
		if old, ok := before[k]; !ok || !reflect.DeepEqual(old, after[k]) {
			put = append(put, after[k])
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(before), compare) {
		if _, ok := after[k]; !ok {
			remove = append(remove, k)
		}
	}
	return put, remove
}
