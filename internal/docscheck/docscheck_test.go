package docscheck

import (
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// root is the path of the repository's root, relative to this package.
const root = "../.."

// externalFiles holds the names of files that documents may name although the files are
// not in the repository.
var externalFiles = map[string]bool{
	"settings.toml": true, // the platform's settings, passed to each controller at its start
}

var (
	// pathPattern matches words that may be a path or the name of a file.
	pathPattern = regexp.MustCompile(`[\w./*-]+`)
	// directoryPattern matches paths that begin with a directory of the repository.
	directoryPattern = regexp.MustCompile(`^(\./)?(cmd|deploy|docs|internal|journal|scripts|tools)/`)
	// codeSpanPattern matches back-quoted text within a line.
	codeSpanPattern = regexp.MustCompile("`([^`]+)`")
	// testPattern matches the names of tests, benchmarks and fuzz tests, with an optional
	// wildcard at the end.
	testPattern = regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z]\w*\*?`)
	// runPattern matches the -run and -bench flags of a command line and their values.
	runPattern = regexp.MustCompile(`\s-(?:run|bench)[ =]'?([^\s'` + "`" + `]+)`)
	// linkPattern matches Markdown links to other files of the repository.
	linkPattern = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
)

// TestPathsExist checks that the files that documents name exist. A name without a
// directory matches a file in any directory.
func TestPathsExist(t *testing.T) {
	names := fileNames(t)
	for _, document := range readDocuments(t) {
		for number, line := range document.lines {
			for _, name := range namedFiles(line) {
				if !fileExists(t, names, name) {
					t.Errorf("%s:%d: file %s does not exist", document.path, number+1, name)
				}
			}
		}
	}
}

// TestLinksResolve checks that the targets of links between documents exist.
func TestLinksResolve(t *testing.T) {
	for _, document := range readDocuments(t) {
		for number, line := range document.lines {
			for _, match := range linkPattern.FindAllStringSubmatch(line, -1) {
				target := path.Join(path.Dir(document.path), match[1])
				if _, err := os.Stat(filepath.Join(root, target)); err != nil {
					t.Errorf("%s:%d: broken link: %v", document.path, number+1, err)
				}
			}
		}
	}
}

// TestNamedTestsExist checks that the tests that documents name exist, and that -run and
// -bench flags in command lines match at least one test.
func TestNamedTestsExist(t *testing.T) {
	declared := declaredTests(t)
	for _, document := range readDocuments(t) {
		for number, line := range document.lines {
			for _, name := range testPattern.FindAllString(line, -1) {
				if !anyMatches(t, "^"+strings.ReplaceAll(name, "*", `\w*`)+"$", declared) {
					t.Errorf("%s:%d: test %s does not exist", document.path, number+1, name)
				}
			}
			for _, match := range runPattern.FindAllStringSubmatch(line, -1) {
				if !anyMatches(t, match[1], declared) {
					t.Errorf("%s:%d: no test matches the pattern %s", document.path, number+1, match[1])
				}
			}
		}
	}
}

// TestLogMessagesExist checks that each log message in the operators' documentation is a
// string literal in the sources, since operators search for it by its text.
func TestLogMessagesExist(t *testing.T) {
	const operations = "docs/operations.md"
	literals := stringLiterals(t)
	messages := logTableMessages(readDocument(t, operations))
	if len(messages) == 0 {
		t.Fatalf("%s: no table of log messages in a section whose heading starts with Log", operations)
	}
	for _, message := range messages {
		if !literals[message] {
			t.Errorf("%s: log message %q is not in the sources", operations, message)
		}
	}
}

// namedFiles returns the paths and file names in a line that must exist: paths in a
// directory of the repository, names of Go files, and back-quoted names of documents and
// settings files.
func namedFiles(line string) []string {
	var names []string
	for _, word := range pathPattern.FindAllString(line, -1) {
		word = strings.TrimSuffix(strings.TrimRight(word, "."), "/")
		if directoryPattern.MatchString(word) || strings.HasSuffix(word, ".go") {
			names = append(names, word)
		}
	}
	for _, span := range codeSpanPattern.FindAllStringSubmatch(line, -1) {
		for _, word := range strings.Fields(span[1]) {
			isDocument := strings.HasSuffix(word, ".md") || strings.HasSuffix(word, ".toml")
			if isDocument && !directoryPattern.MatchString(word) && !externalFiles[word] {
				names = append(names, word)
			}
		}
	}
	return names
}

// fileExists reports whether a file exists in the repository. A name with a slash is a path
// relative to the root, with * as a wildcard. Any other name must be in names.
func fileExists(t *testing.T, names map[string]bool, name string) bool {
	t.Helper()
	if !strings.Contains(name, "/") {
		return names[name]
	}
	found, err := filepath.Glob(filepath.Join(root, name))
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return len(found) > 0
}

// anyMatches reports whether a regular expression matches any of the names.
func anyMatches(t *testing.T, expression string, names []string) bool {
	t.Helper()
	pattern, err := regexp.Compile(expression)
	if err != nil {
		t.Fatalf("%s: %v", expression, err)
	}
	for _, name := range names {
		if pattern.MatchString(name) {
			return true
		}
	}
	return false
}
