package docscheck

import (
	"slices"
	"strings"
	"testing"
)

// TestNamedFiles checks which words of a line are taken for files that must exist.
func TestNamedFiles(t *testing.T) {
	for _, test := range []struct {
		name, line string
		want       []string
	}{
		{"package in prose", "The package internal/store reads it.", []string{"internal/store"}},
		{"path at the end of a sentence", "See scripts/check.", []string{"scripts/check"}},
		{"package in a command line", "    go test ./internal/peers -run X", []string{"./internal/peers"}},
		{"all packages", "go vet ./...", nil},
		{"path with a wildcard", "`docs/days/*.toml`", []string{"docs/days/*.toml"}},
		{"Go file without quotes", "| writes | queue.go, batch.go |", []string{"queue.go", "batch.go"}},
		{"Go file with a function", "`queue.go: dispatch`", []string{"queue.go"}},
		{"quoted document", "`design.md`", []string{"design.md"}},
		{"unquoted document", "design.md", nil},
		{"platform's settings", "`settings.toml`", nil},
		{"URL", "https://example.org/docs/guide", nil},
		{"build output", "`target/stairrelay`", nil},
	} {
		if got := namedFiles(test.line); !slices.Equal(got, test.want) {
			t.Errorf("%s: namedFiles returned %q, want %q", test.name, got, test.want)
		}
	}
}

// TestLogTableMessages checks that messages are taken only from the first column of the
// tables in the section about log messages.
func TestLogTableMessages(t *testing.T) {
	const text = "## Start\n| `not a message` | x |\n" +
		"## Log\nStandard error, `LOG_LEVEL`.\n| line | meaning |\n| --- | --- |\n" +
		"| `first`, `second one` (debug) | with `detail` |\n### More\n| `third` | x |\n" +
		"## Limits\n| `no message` | x |\n"
	got := logTableMessages(document{lines: strings.Split(text, "\n")})
	if want := []string{"first", "second one", "third"}; !slices.Equal(got, want) {
		t.Errorf("logTableMessages returned %q, want %q", got, want)
	}
}

// TestFirstSection checks that the lines from the second section on are left out.
func TestFirstSection(t *testing.T) {
	lines := []string{"# Title", "## Now", "### Detail", "## Earlier", "old"}
	if got, want := firstSection(lines), lines[:3]; !slices.Equal(got, want) {
		t.Errorf("two sections: %q, want %q", got, want)
	}
	if got, want := firstSection(lines[:3]), lines[:3]; !slices.Equal(got, want) {
		t.Errorf("one section: %q, want %q", got, want)
	}
}
