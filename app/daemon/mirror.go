package daemon

import (
	"amaranthturn/core/mirror"
	"amaranthturn/core/roster"
	"amaranthturn/platform"
)

// NewMirror returns an empty copy of the platform's store. The decoder is also used when the copy
// changes.
func NewMirror(settings *platform.Settings, d *platform.Decoder) *mirror.Mirror {
	return mirror.New(map[string]mirror.Retention{
		platform.OperatorKeys: {IsUsable: d.IsUsable, Compare: platform.CompareVersions},
		platform.TargetKeys:   roster.DefaultSettings.Retention(settings.RecordRenewal, platform.CompareTargets),
	})
}
