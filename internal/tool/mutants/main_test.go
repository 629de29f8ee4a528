package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against operators that are skipped or changed at the wrong position, and
// against a noticed mutant that is reported as surviving.
func TestRun(t *testing.T) {
	t.Chdir(t.TempDir())
	for name, text := range map[string]string{
		"go.mod":      "module example.org/m\n\ngo 1.24\n",
		listPath:      "| m/m.go `return a < 0 \\|\\| b == 1` < to <= | listed |\n",
		"m/m.go":      "package m\n\nfunc f(a, b int) bool {\n\treturn a < 0 || b == 1\n}\n",
		"m/m_test.go": "package m\n\nimport \"testing\"\n\nfunc TestF(t *testing.T) {\n\tif !f(-1, 0) || f(1, 0) {\n\t\tt.Fail()\n\t}\n}\n",
	} {
		assert.NilError(t, os.MkdirAll(filepath.Dir(name), 0o700))
		assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
	}
	all, err := findMutants("m")
	assert.NilError(t, err)
	var lines []string
	for _, m := range all {
		lines = append(lines, string(bytes.Split(m.source, []byte("\n"))[3]))
	}
	assert.DeepEqual(t, lines, []string{"\treturn a < 0 && b == 1", "\treturn a <= 0 || b == 1", "\treturn a < 0 || b != 1"})
	var out bytes.Buffer
	unlisted, err := run(context.Background(), &out, []string{"m"}, 1, time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, unlisted, 0)
	assert.Equal(t, out.String(), "3 mutants, 2 noticed, 1 listed, 0 not listed\n")
}
