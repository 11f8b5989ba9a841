package engine

import (
	"context"
	"log/slog"

	"stairrelay/internal/messages"
)

// Executors holds the functions that start the controller's calls to other processes. The
// functions must not block, because they run on the goroutine of Engine.Run. The reply to
// each call must be passed to Engine.DeliverReply from another goroutine.
type Executors struct {
	Store   func(messages.Effect)
	Cloud   func(messages.Effect)
	Workers func(messages.Effect)
	Peers   func(messages.PeerCall)
}

// execute executes an effect or passes it to its executor.
func (e *Engine) execute(effect messages.Effect) {
	switch effect := effect.(type) {
	case messages.Respond:
		e.respond(effect)
	case messages.StoreTxn, messages.StoreGet, messages.StoreList, messages.StoreWatch:
		e.executors.Store(effect)
	case messages.CloudListMachineTypes, messages.CloudScaleOut, messages.CloudScaleIn, messages.CloudListMachines:
		e.executors.Cloud(effect)
	case messages.PushCommands, messages.QueryWorkerStatus:
		e.executors.Workers(effect)
	case messages.PeerCall:
		e.executors.Peers(effect)
	case messages.Log:
		e.writeLog(effect)
	}
}

// respond passes a response to the caller of Request. It drops further responses to the
// same request.
func (e *Engine) respond(response messages.Respond) {
	if responses := e.pendingRequests[response.Request]; responses != nil {
		responses <- response
		delete(e.pendingRequests, response.Request)
	}
}

// statsMessage is the message of the log line to which the engine appends the resource
// usage of the process.
const statsMessage = "stats"

// writeLog writes a log line of the controller. It appends the resource usage to the stats
// line.
func (e *Engine) writeLog(line messages.Log) {
	arguments := line.Args
	if line.Message == statsMessage {
		arguments = append(arguments, e.usage.sample(&e.load)...)
	}
	e.log.Log(context.Background(), slogLevel(line.Level), line.Message, arguments...)
}

func slogLevel(level messages.LogLevel) slog.Level {
	switch level {
	case messages.LogDebug:
		return slog.LevelDebug
	case messages.LogError:
		return slog.LevelError
	case messages.LogInfo:
		return slog.LevelInfo
	}
	return slog.LevelInfo
}
