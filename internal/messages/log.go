package messages

// LogLevel says how important a line of the log is.
type LogLevel string

// The levels of the log, least important first.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogError LogLevel = "error"
)

// Log is a line for the operators.
type Log struct {
	Level   LogLevel
	Message string
	Args    []any
}
