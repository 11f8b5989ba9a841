package docscheck

import (
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// root is the repository's root, seen from this package.
const root = "../.."

// externalFiles are names that look like files of the repository and are not.
var externalFiles = map[string]bool{
	"settings.toml": true, // the platform's settings, which each controller gets when it starts
}

var (
	// pathPattern finds what can be a path or a file's name.
	pathPattern = regexp.MustCompile(`[\w./*-]+`)
	// directoryPattern matches paths that begin with a directory of the repository.
	directoryPattern = regexp.MustCompile(`^(\./)?(cmd|deploy|docs|internal|journal|scripts|tools)/`)
	// codeSpanPattern finds back-quoted text within a line.
	codeSpanPattern = regexp.MustCompile("`([^`]+)`")
	// testPattern finds names of tests; a star stands for the rest of the name.
	testPattern = regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z]\w*\*?`)
	// runPattern finds the tests that a command line selects.
	runPattern = regexp.MustCompile(`\s-(?:run|bench)[ =]'?([^\s'` + "`" + `]+)`)
	// linkPattern finds the targets of links to other files of the repository.
	linkPattern = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
)

// TestPathsExist checks paths that begin with one of the repository's
// directories, names of Go files, and back-quoted names of documents and
// settings files. A name without a directory may be anywhere in the repository.
func TestPathsExist(t *testing.T) {
	names := fileNames(t)
	for _, document := range readDocuments(t) {
		for number, line := range document.lines {
			for _, name := range namedFiles(line) {
				if !fileExists(t, names, name) {
					t.Errorf("%s:%d: no file %s", document.path, number+1, name)
				}
			}
		}
	}
}

// TestLinksResolve checks the targets of links between the documents.
func TestLinksResolve(t *testing.T) {
	for _, document := range readDocuments(t) {
		for number, line := range document.lines {
			for _, match := range linkPattern.FindAllStringSubmatch(line, -1) {
				target := path.Join(path.Dir(document.path), match[1])
				if _, err := os.Stat(filepath.Join(root, target)); err != nil {
					t.Errorf("%s:%d: link to a missing file: %v", document.path, number+1, err)
				}
			}
		}
	}
}

// TestNamedTestsExist checks the names of tests, and that the command lines that
// select tests select at least one.
func TestNamedTestsExist(t *testing.T) {
	declared := declaredTests(t)
	for _, document := range readDocuments(t) {
		for number, line := range document.lines {
			for _, name := range testPattern.FindAllString(line, -1) {
				if !anyMatches(t, "^"+strings.ReplaceAll(name, "*", `\w*`)+"$", declared) {
					t.Errorf("%s:%d: no test %s", document.path, number+1, name)
				}
			}
			for _, match := range runPattern.FindAllStringSubmatch(line, -1) {
				if !anyMatches(t, match[1], declared) {
					t.Errorf("%s:%d: no test matches %s", document.path, number+1, match[1])
				}
			}
		}
	}
}

// TestLogMessagesExist checks that the program can write each log message that
// the operators' table explains: operators search the documents for the message
// that they see.
func TestLogMessagesExist(t *testing.T) {
	const operations = "docs/operations.md"
	literals := stringLiterals(t)
	messages := logTableMessages(readDocument(t, operations))
	if len(messages) == 0 {
		t.Fatalf("%s: no table of log messages under a heading that begins with Log", operations)
	}
	for _, message := range messages {
		if !literals[message] {
			t.Errorf("%s: no source has the log message %q", operations, message)
		}
	}
}

// namedFiles returns the paths and file names in a line that have to exist.
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

// fileExists says whether a path, in which stars are wildcards, or a name
// without a directory exists in the repository.
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

// anyMatches says whether an expression matches any of the names.
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
