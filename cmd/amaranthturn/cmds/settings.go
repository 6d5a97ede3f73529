package cmds

import (
	"amaranthturn/app/settings"
	"amaranthturn/platform"
)

type settingsCommand struct {
	For string `long:"for" choice:"serve" choice:"entry" choice:"agent" default:"serve" description:"command that reads the file: serve uses the platform's format, entry and agent the project's"`
}

func (c *settingsCommand) run(p *program, args []string) int {
	if len(args) != 2 || args[0] != "check" {
		return p.usageError("settings check [--for serve|entry|agent] FILE")
	}
	var err error
	switch c.For {
	case "serve":
		_, err = platform.LoadSettings(args[1])
	case "entry":
		_, err = settings.LoadEntry(args[1])
	case "agent":
		_, err = settings.LoadAgent(args[1])
	}
	if err != nil {
		return p.fail(ExitFailure, err)
	}
	p.printf("%s: accepted\n", args[1])
	return ExitOK
}

type completionCommand struct{}

// completionScript gets the completions from the program itself, with go-flags' GO_FLAGS_COMPLETION.
const completionScript = `_amaranthturn() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _amaranthturn amaranthturn
`

func (c *completionCommand) run(p *program, args []string) int {
	if len(args) != 1 || args[0] != "bash" {
		return p.usageError("completion bash")
	}
	p.printf("%s", completionScript)
	return ExitOK
}
