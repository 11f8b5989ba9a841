// Package docscheck contains only tests. They check that the files, tests and log messages
// that the project's documents name exist in the repository.
package docscheck
