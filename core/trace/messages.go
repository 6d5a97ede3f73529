package trace

// Messages of the log lines that Trace evaluates. The daemons write them.
const (
	MessageRequest             = "request"
	MessageAttemptFailed       = "attempt failed"
	MessageStoreUnavailable    = "store is out of reach"
	MessageStoreRestored       = "store was restored"
	MessagePlatformUnavailable = "platform is out of reach"
	MessageConfiguration       = "configuration in force"
	MessageTarget              = "target"
	MessageTargetChanged       = "target changed"
	MessageRelayReports        = "reports on a zone begin"
	MessageRelayLost           = "reports on a zone ended"
	MessageTargetRemoved       = "entry of a target is gone"
	MessageTargetLeaves        = "target leaves"
	MessageTargetSheds         = "target sheds load"
	MessageTargetsExpired      = "lapsed targets did not come back"
	MessageTargetShownRemoved  = "target has left: entries read the store before its entry went"
	MessageWeightsTooOld       = "older weights may not answer any more"
	MessageAgentDetached       = "agent detached"
	MessageEngine              = "engine"
	MessageEngineCrashed       = "engine died"
	MessageEntryPaused         = "process was paused: view is stale"
	MessageGatewayPaused       = "process was paused"
	MessageAgentPaused         = "process was paused: looking at the engine anew"
	MessageSidecarStopped      = "sidecar stopped"
	MessageLinesDropped        = "log lines were dropped"
)
