package cmds

import (
	"amaranthturn/app/settings"
	"amaranthturn/platform"
)

type settingsCommand struct {
	For string `long:"for" choice:"serve" choice:"entry" choice:"agent" default:"serve" description:"the command that reads the file: serve takes the platform's format, entry and agent the project's"`
}

func (c *settingsCommand) run(p *program, args []string) int {
	if len(args) != 2 || args[0] != "check" {
		return p.usage("settings check [--for serve|entry|agent] FILE")
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
		return p.fail(ExitNot, err)
	}
	p.print("%s: accepted\n", args[1])
	return ExitOK
}

type completionCommand struct{}

// completionScript asks the program itself for what may follow, as go-flags offers it.
const completionScript = `_amaranthturn() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _amaranthturn amaranthturn
`

func (c *completionCommand) run(p *program, args []string) int {
	if len(args) != 1 || args[0] != "bash" {
		return p.usage("completion bash")
	}
	p.print("%s", completionScript)
	return ExitOK
}
