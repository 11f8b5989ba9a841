package messages

// LogLevel is the severity of a log line.
type LogLevel string

// The log levels, in order of increasing severity.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogError LogLevel = "error"
)

// Log writes a log line. Message is a constant text for each kind of line. Args holds
// alternating keys and values, as in log/slog.
type Log struct {
	Level   LogLevel
	Message string
	Args    []any
}
