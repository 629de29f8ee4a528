// Mutants changes one comparison or logical operator of decision code at a
// time and runs the tests of its package, to find decisions that no test
// checks. The files stay as they are: the go command gets the changed file as
// an overlay.
//
//	go run ./internal/tool/mutants [--jobs N] [--timeout 60s] ./internal/decide/share ...
//
// It prints a line for each mutant that no test notices and ends with status
// 1 when there is one that docs/mutants.md does not list. A mutant whose tests
// do not compile or do not end in time counts as noticed.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"
)

// listPath is the list of mutants that are known to change nothing that a
// test could notice, each with its reason.
const listPath = "docs/mutants.md"

// replacements are the operators that are changed, each into its neighbour.
var replacements = map[token.Token]token.Token{
	token.LSS: token.LEQ, token.LEQ: token.LSS, token.GTR: token.GEQ, token.GEQ: token.GTR,
	token.EQL: token.NEQ, token.NEQ: token.EQL, token.LAND: token.LOR, token.LOR: token.LAND,
}

// mutant is one changed operator.
type mutant struct {
	path     string
	line     int
	source   []byte
	text     string
	operator token.Token
}

// name identifies a mutant by its line's text, so that it stays the same when
// lines move.
func (m mutant) name() string {
	return fmt.Sprintf("%s `%s` %s to %s", m.path, m.text, m.operator, replacements[m.operator])
}

// mutants returns the mutants of a package's files.
func mutants(dir string) ([]mutant, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return nil, err
	}
	var all []mutant
	for _, p := range paths {
		if strings.HasSuffix(p, "_test.go") {
			continue
		}
		source, err := os.ReadFile(p)
		if err != nil {
			return nil, err
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, p, source, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		lines := bytes.Split(source, []byte("\n"))
		ast.Inspect(file, func(n ast.Node) bool {
			e, ok := n.(*ast.BinaryExpr)
			if !ok {
				return true
			}
			to, ok := replacements[e.Op]
			if !ok {
				return true
			}
			at := files.Position(e.OpPos)
			changed := append([]byte(nil), source[:at.Offset]...)
			changed = append(changed, to.String()...)
			changed = append(changed, source[at.Offset+len(e.Op.String()):]...)
			all = append(all, mutant{
				path: filepath.ToSlash(filepath.Clean(p)), line: at.Line, source: changed, operator: e.Op,
				text: strings.TrimSpace(string(lines[at.Line-1])),
			})
			return true
		})
	}
	return all, nil
}

// survives runs the tests of the package with the mutant.
func (m mutant) survives(ctx context.Context, timeout time.Duration) (bool, error) {
	dir, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	changed := filepath.Join(dir, filepath.Base(m.path))
	if err := os.WriteFile(changed, m.source, 0o600); err != nil {
		return false, err
	}
	path, err := filepath.Abs(m.path)
	if err != nil {
		return false, err
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
	if err != nil {
		return false, err
	}
	list := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(list, overlay, 0o600); err != nil {
		return false, err
	}
	c := exec.CommandContext(ctx, "go", "test", "-short", "-vet=off", "-overlay", list, "-timeout", timeout.String(), "./"+filepath.Dir(m.path))
	return c.Run() == nil, ctx.Err()
}

// run tries the mutants of the packages and returns those that survive and
// are not listed.
func run(ctx context.Context, w io.Writer, dirs []string, jobs int, timeout time.Duration) (unlisted int, err error) {
	listed, err := os.ReadFile(listPath)
	if err != nil {
		return 0, err
	}
	// Tables escape the bars of operators.
	listed = bytes.ReplaceAll(listed, []byte(`\|`), []byte("|"))
	var all []mutant
	for _, d := range dirs {
		found, err := mutants(d)
		if err != nil {
			return 0, err
		}
		all = append(all, found...)
	}
	survived := make([]bool, len(all))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(jobs)
	for i, m := range all {
		g.Go(func() (err error) {
			survived[i], err = m.survives(ctx, timeout)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return 0, err
	}
	known := 0
	for i, m := range all {
		switch {
		case !survived[i]:
		case bytes.Contains(listed, []byte(m.name())):
			known++
		default:
			unlisted++
			if _, err := fmt.Fprintf(w, "survived, line %d: %s\n", m.line, m.name()); err != nil {
				return unlisted, err
			}
		}
	}
	_, err = fmt.Fprintf(w, "%d mutants, %d noticed, %d listed, %d not listed\n", len(all), len(all)-known-unlisted, known, unlisted)
	return unlisted, err
}

func main() {
	jobs := kingpin.Flag("jobs", "Tests that run at the same time.").Default("3").Int()
	timeout := kingpin.Flag("timeout", "Time for the tests of one mutant.").Default("60s").Duration()
	dirs := kingpin.Arg("package", "Directories of packages.").Required().ExistingDirs()
	kingpin.Parse()
	unlisted, err := run(context.Background(), os.Stdout, *dirs, *jobs, *timeout)
	if err != nil {
		kingpin.Fatalf("%v", err)
	}
	if unlisted > 0 {
		os.Exit(1)
	}
}
