package docscheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// document is a Markdown document of the repository.
type document struct {
	path  string // relative to the repository's root
	lines []string
}

// logHeading matches the heading of the section about log messages.
var logHeading = regexp.MustCompile(`^## Log\b`)

// readDocuments reads the documents that describe the current sources. It leaves out
// documents and sections about earlier versions, which may name files and tests that no
// longer exist: subdirectories of docs, files with "history" in their names, and all but
// the first section of docs/results.md.
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

// readDocument reads the document at a path relative to the repository's root.
func readDocument(t *testing.T, path string) document {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(root, path))
	if err != nil {
		t.Fatal(err)
	}
	return document{path: path, lines: strings.Split(string(content), "\n")}
}

// firstSection returns the lines before the second heading of level two, or all lines if
// there is none.
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

// logTableMessages returns the back-quoted messages in the first column of the tables in
// the section about log messages.
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
