package docscheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// document is a document of the repository by lines.
type document struct {
	path  string // from the repository's root
	lines []string
}

// logHeading matches the heading of the section that explains log messages.
var logHeading = regexp.MustCompile(`^## Log\b`)

// readDocuments reads the documents that describe the sources as they are. Those
// that tell what was at an earlier time keep the names of that time: incident
// reports (in a directory of their own), histories, and all but the first section
// of the results, which has the present figures.
func readDocuments(t *testing.T) []document {
	t.Helper()
	paths := []string{"README.md"}
	if _, err := os.Stat(filepath.Join(root, "CONTRIBUTING.md")); err == nil {
		paths = append(paths, "CONTRIBUTING.md")
	}
	files, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		name := filepath.Base(file)
		if !strings.Contains(strings.ToLower(name), "history") {
			paths = append(paths, "docs/"+name)
		}
	}
	var documents []document
	for _, path := range paths {
		document := readDocument(t, path)
		if path == "docs/results.md" {
			document.lines = firstSection(document.lines)
		}
		documents = append(documents, document)
	}
	return documents
}

// readDocument reads one document.
func readDocument(t *testing.T, path string) document {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(root, path))
	if err != nil {
		t.Fatal(err)
	}
	return document{path: path, lines: strings.Split(string(content), "\n")}
}

// firstSection returns the lines before the second heading of level two.
func firstSection(lines []string) []string {
	headings := 0
	for i, line := range lines {
		if !strings.HasPrefix(line, "## ") {
			continue
		}
		headings++
		if headings == 2 {
			return lines[:i]
		}
	}
	return lines
}

// logTableMessages returns the back-quoted messages in the first column of the
// tables of the section on the log.
func logTableMessages(document document) []string {
	var messages []string
	inSection := false
	for _, line := range document.lines {
		if strings.HasPrefix(line, "## ") {
			inSection = logHeading.MatchString(line)
		}
		if !inSection || !strings.HasPrefix(line, "|") {
			continue
		}
		firstCell, _, _ := strings.Cut(strings.TrimPrefix(line, "|"), "|")
		for _, span := range codeSpanPattern.FindAllStringSubmatch(firstCell, -1) {
			messages = append(messages, span[1])
		}
	}
	return messages
}
