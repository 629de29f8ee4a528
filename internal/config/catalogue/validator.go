// Package catalogue validates a whole catalogue, before an operator's change
// to it is stored.
package catalogue

import (
	"cmp"
	"fmt"
	"path"
	"regexp"
	"strconv"
	"strings"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/check"
)

// maxFaults limits the faults that one error lists.
const maxFaults = 20

// Validator validates catalogues. It is safe for concurrent use.
type Validator struct {
	checker *check.Checker
}

// New returns a validator. Its errors do not contain the values of key hashes.
func New() *Validator {
	// An operator may enter a key in place of its hash.
	return &Validator{checker: check.New("keyHashes")}
}

// Check returns nil or an error of KindInvalidCatalogue that lists the
// faults, each with the item, its field, the value and what is allowed.
func (v *Validator) Check(c galenalatch.Catalogue) error {
	list, total := v.checker.Faults(c, maxFaults)
	for i, f := range list {
		list[i] = withItemName(c, f)
	}
	faults := &faults{list: list, total: total}
	checkPools(c, faults)
	checkWorkspaces(c, faults)
	checkEntries(c, faults)
	v.checkDefaults(c, faults)
	for i, d := range c.OutOfService {
		faults.checkName(fmt.Sprintf("outOfService[%d]", i), string(d))
	}
	for i, s := range c.ServersOut {
		faults.checkName(fmt.Sprintf("serversOut[%d]", i), string(s))
	}
	if faults.total == 0 {
		return nil
	}
	text := strings.Join(faults.list, "\n")
	if more := faults.total - len(faults.list); more > 0 {
		text += fmt.Sprintf("\nand %d more faults", more)
	}
	return galenalatch.KindInvalidCatalogue.Errorf("%s", text)
}

// faults collects the faults of a catalogue: the first maxFaults of them and
// their number.
type faults struct {
	list  []string
	total int
}

func (f *faults) add(path, value, allowed string) {
	f.total++
	if len(f.list) < maxFaults {
		f.list = append(f.list, fmt.Sprintf("%s: %s is not allowed; allowed: %s", path, value, allowed))
	}
}

// namePattern is the form of names. Names are parts of URL paths, table keys and
// metrics labels.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

func (f *faults) checkName(path, name string) {
	// The validate tags report empty names.
	if name != "" && !namePattern.MatchString(name) {
		f.add(path, check.Quote(name), "1 to 64 letters, digits, dots, hyphens and underscores, the first a letter or digit")
	}
}

var itemPattern = regexp.MustCompile(`^(pools|workspaces|entries)\[(\d+)\]`)

// withItemName inserts the name of the pool, workspace or entry after its
// index in the path at the start of a fault.
func withItemName(c galenalatch.Catalogue, fault string) string {
	m := itemPattern.FindStringSubmatch(fault)
	if m == nil {
		return fault
	}
	i, err := strconv.Atoi(m[2])
	if err != nil {
		return fault
	}
	rest := fault[len(m[0]):]
	switch m[1] {
	case "pools":
		return poolPath(c, i) + rest
	case "workspaces":
		return workspacePath(c, i) + rest
	}
	return entryPath(c, i) + rest
}

func poolPath(c galenalatch.Catalogue, i int) string {
	return fmt.Sprintf("pools[%d] (%.64s)", i, c.Pools[i].Name)
}

func workspacePath(c galenalatch.Catalogue, i int) string {
	return fmt.Sprintf("workspaces[%d] (%.64s)", i, c.Workspaces[i].Name)
}

func entryPath(c galenalatch.Catalogue, i int) string {
	return fmt.Sprintf("entries[%d] (%.64s/%.16s)", i, c.Entries[i].Workspace, c.Entries[i].Class)
}

// checkPools finds faults of pools that the validate tags cannot express.
func checkPools(c galenalatch.Catalogue, f *faults) {
	owners := make(map[string]galenalatch.PoolName)
	for i, p := range c.Pools {
		at := poolPath(c, i)
		f.checkName(at+".name", string(p.Name))
		for j, m := range p.Models {
			if o, ok := owners[m]; ok {
				f.add(fmt.Sprintf("%s.models[%d]", at, j), check.Quote(m),
					fmt.Sprintf("each model once; it is a model of pool %s", check.Quote(string(o))))
				continue
			}
			owners[m] = p.Name
		}
		switch p.Kind {
		case galenalatch.ModelPool:
			if len(p.Models) == 0 {
				f.add(at+".models", "an empty list", "at least one model in a pool of kind model")
			}
			if len(p.Routes) > 0 {
				f.add(at+".routes", fmt.Sprintf("a list of %d elements", len(p.Routes)), "routes in pools of kind plain only")
			}
			// Requests without a cost would not be charged to their workspace.
			if p.PromptWeight == 0 && p.OutputWeight == 0 {
				f.add(at+".outputWeight", "0 together with promptWeight 0", "at least one weight above 0 in a pool of kind model")
			}
		case galenalatch.PlainPool:
			if len(p.Models) > 0 {
				f.add(at+".models", fmt.Sprintf("a list of %d elements", len(p.Models)), "models in pools of kind model only")
			}
		}
		checkRoutes(p, at, f)
	}
}

// checkRoutes finds routes that occur twice or have an unusable path prefix.
func checkRoutes(p galenalatch.Pool, at string, f *faults) {
	type key struct{ method, prefix string }
	seen := make(map[key]bool)
	for j, r := range p.Routes {
		k := key{r.Method, r.PathPrefix}
		if seen[k] {
			f.add(fmt.Sprintf("%s.routes[%d]", at, j), check.Quote(r.Method+" "+r.PathPrefix), "each method and path prefix once")
		}
		seen[k] = true
		// Requests with paths that are not clean are refused, so a route with
		// such a prefix would match no request, and the calls that it is meant
		// for would be subject to other routes.
		if s := r.PathPrefix; strings.HasPrefix(s, "/") && s != "/" && (path.Clean(s) != strings.TrimSuffix(s, "/") || strings.ContainsAny(s, "?#%;\\")) {
			f.add(fmt.Sprintf("%s.routes[%d].pathPrefix", at, j), check.Quote(s),
				"decoded paths without empty or dot segments, query and any of ?#%;\\")
		}
	}
}

// checkWorkspaces finds names of the wrong form and key hashes that occur twice.
func checkWorkspaces(c galenalatch.Catalogue, f *faults) {
	owners := make(map[string]galenalatch.WorkspaceName)
	for i, w := range c.Workspaces {
		at := workspacePath(c, i)
		f.checkName(at+".name", string(w.Name))
		for j, h := range w.KeyHashes {
			if o, ok := owners[h]; ok {
				f.add(fmt.Sprintf("%s.keyHashes[%d]", at, j), "the value (not shown)",
					fmt.Sprintf("each hash once; it is a hash of workspace %s", check.Quote(string(o))))
				continue
			}
			owners[h] = w.Name
		}
	}
}

// checkEntries finds entries of unknown workspaces and entries that occur twice.
func checkEntries(c galenalatch.Catalogue, f *faults) {
	known := make(map[galenalatch.WorkspaceName]bool, len(c.Workspaces))
	for _, w := range c.Workspaces {
		known[w.Name] = true
	}
	seen := make(map[galenalatch.EntryKey]bool, len(c.Entries))
	for i, e := range c.Entries {
		k := galenalatch.EntryKey{Workspace: e.Workspace, Class: e.Class}
		if e.Workspace != "" && !known[e.Workspace] {
			f.add(entryPath(c, i)+".workspace", check.Quote(string(e.Workspace)), "the name of a workspace of the catalogue")
		}
		if seen[k] {
			f.add(entryPath(c, i), "a second entry", "one entry for each workspace and class")
		}
		seen[k] = true
	}
}

// checkDefaults validates the limits of workspaces without an entry. They may
// be left out only while there are no workspaces.
func (v *Validator) checkDefaults(c galenalatch.Catalogue, f *faults) {
	d := c.DefaultLimits
	if d == (galenalatch.Entry{}) && len(c.Workspaces) == 0 {
		return
	}
	if d.Workspace != "" || d.Class != "" {
		f.add("defaultLimits", check.Quote(cmp.Or(string(d.Workspace), string(d.Class))), "neither workspace nor class")
	}
	d.Workspace, d.Class = "any", galenalatch.Interactive
	list, total := v.checker.Faults(d, maxFaults)
	for _, s := range list {
		if len(f.list) < maxFaults {
			f.list = append(f.list, "defaultLimits."+s)
		}
	}
	f.total += total
}
