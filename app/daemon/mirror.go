package daemon

import (
	"amaranthturn/core/mirror"
	"amaranthturn/core/roster"
	"amaranthturn/platform"
)

// NewMirror returns an empty copy of the platform's store. The decoder is also used when the copy
// changes.
func NewMirror(settings *platform.Settings, d *platform.Decoder) *mirror.Mirror {
	targets := roster.DefaultSettings.Retention(settings.RecordRenewal, platform.CompareTargets)
	targets.Summary = platform.SummarizeTarget
	return mirror.New(map[string]mirror.Retention{
		platform.OperatorKeys: {IsUsable: d.IsUsable, Compare: platform.CompareVersions, Summary: platform.SummarizeVersion},
		platform.TargetKeys:   targets,
	})
}
