package messages

// LogLevel is the severity of a log line.
type LogLevel string

// The severities of log lines, least severe first.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogError LogLevel = "error"
)

// Log is a log line for the operators. Message is constant for each kind of
// line; Args holds its keys and values in turn, as log/slog takes them.
type Log struct {
	Level   LogLevel
	Message string
	Args    []any
}
