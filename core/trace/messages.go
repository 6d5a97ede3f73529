package trace

// Messages of the log lines that Trace evaluates. The daemons write them.
const (
	MessageRequest        = "request"
	MessageAttempt        = "attempt failed"
	MessageStoreLost      = "store is out of reach"
	MessagePlatformLost   = "platform is out of reach"
	MessageConfiguration  = "configuration in force"
	MessageTarget         = "target"
	MessageTargetChanged  = "target changed"
	MessageTargetGone     = "entry of a target is gone"
	MessageTargetsLapsed  = "lapsed targets did not come back"
	MessageTooOld         = "older weights may not answer any more"
	MessageAgentDetached  = "agent detached"
	MessageEngine         = "engine"
	MessageEngineDied     = "engine died"
	MessageEntryPaused    = "process was paused: view is stale"
	MessageGatewayPaused  = "process was paused"
	MessageAgentPaused    = "process was paused: looking at the engine anew"
	MessageSidecarStopped = "sidecar stopped"
	MessageDropped        = "log lines were dropped"
)
