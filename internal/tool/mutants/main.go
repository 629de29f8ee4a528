// Mutants is a mutation tester for comparison and logical operators. It changes
// one operator at a time and runs the tests of its package, to find conditions
// that no test checks. Source files are not modified: the go command gets the
// changed file as an overlay.
//
//	go run ./internal/tool/mutants [--jobs N] [--timeout 60s] ./internal/decide/share ...
//
// It prints each surviving mutant that docs/mutants.md does not list, and exits
// with status 1 if there is one. A mutant whose tests do not compile or time out
// counts as noticed.
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

// listPath is the list of equivalent mutants, which no test can notice, each with
// the reason.
const listPath = "docs/mutants.md"

// replacements maps each operator that is mutated to its replacement.
var replacements = map[token.Token]token.Token{
	token.LSS: token.LEQ, token.LEQ: token.LSS, token.GTR: token.GEQ, token.GEQ: token.GTR,
	token.EQL: token.NEQ, token.NEQ: token.EQL, token.LAND: token.LOR, token.LOR: token.LAND,
}

// mutant is a source file with one changed operator.
type mutant struct {
	path   string
	line   int
	source []byte
	// text is the original line without surrounding space.
	text string
	// operator is the original operator.
	operator token.Token
}

// name identifies a mutant by the text of its line instead of its line number, so
// that edits elsewhere in the file do not change it.
func (m mutant) name() string {
	return fmt.Sprintf("%s `%s` %s to %s", m.path, m.text, m.operator, replacements[m.operator])
}

// findMutants returns the mutants of the non-test files in a package directory.
func findMutants(dir string) ([]mutant, error) {
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
		fileSet := token.NewFileSet()
		file, err := parser.ParseFile(fileSet, p, source, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		lines := bytes.Split(source, []byte("\n"))
		ast.Inspect(file, func(n ast.Node) bool {
			e, ok := n.(*ast.BinaryExpr)
			if !ok {
				return true
			}
			replacement, ok := replacements[e.Op]
			if !ok {
				return true
			}
			position := fileSet.Position(e.OpPos)
			changed := append([]byte(nil), source[:position.Offset]...)
			changed = append(changed, replacement.String()...)
			changed = append(changed, source[position.Offset+len(e.Op.String()):]...)
			all = append(all, mutant{
				path: filepath.ToSlash(filepath.Clean(p)), line: position.Line, source: changed, operator: e.Op,
				text: strings.TrimSpace(string(lines[position.Line-1])),
			})
			return true
		})
	}
	return all, nil
}

// survives runs the tests of the package with the mutant and reports whether they
// pass.
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
	overlayPath := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(overlayPath, overlay, 0o600); err != nil {
		return false, err
	}
	c := exec.CommandContext(ctx, "go", "test", "-short", "-vet=off", "-overlay", overlayPath, "-timeout", timeout.String(), "./"+filepath.Dir(m.path))
	return c.Run() == nil, ctx.Err()
}

// run tests the mutants of the packages, prints the surviving ones that are not
// listed and a summary, and returns the number of the former.
func run(ctx context.Context, w io.Writer, dirs []string, jobs int, timeout time.Duration) (unlisted int, err error) {
	listed, err := os.ReadFile(listPath)
	if err != nil {
		return 0, err
	}
	// The Markdown tables of the list escape the bars of operators.
	listed = bytes.ReplaceAll(listed, []byte(`\|`), []byte("|"))
	var all []mutant
	for _, d := range dirs {
		found, err := findMutants(d)
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
	jobs := kingpin.Flag("jobs", "Number of mutants tested in parallel.").Default("3").Int()
	timeout := kingpin.Flag("timeout", "Timeout of the tests of one mutant.").Default("60s").Duration()
	dirs := kingpin.Arg("package", "Package directories.").Required().ExistingDirs()
	kingpin.Parse()
	unlisted, err := run(context.Background(), os.Stdout, *dirs, *jobs, *timeout)
	if err != nil {
		kingpin.Fatalf("%v", err)
	}
	if unlisted > 0 {
		os.Exit(1)
	}
}
