// Package docscheck holds tests that compare the project's documents with its
// sources: every path, test and log message that a document names has to exist.
// It has no code of its own.
package docscheck
