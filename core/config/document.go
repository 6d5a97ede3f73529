// Package config parses and resolves the fleet's configuration: defaults, and
// exceptions with a written reason each. app/entry and app/agent use it; app/gateway
// and app/sidecar use package routeconfig.
//
// # Usage
//
//	doc, err := config.Parse(body)
//	if err != nil {
//		// err is a *config.RefusedError that lists every problem with its line.
//	}
//	plan := doc.PlanFor(instance)
//	version, ok := doc.VersionFor(workspace, model, fingerprint)
//
// Parse is a pure function of the document, so every instance and `config check`
// reach the same verdict. It does not read a clock: the expiry of an exception is
// shown to operators, but does not change the settings in force.
package config

import (
	"amaranthturn/core/fleet"
	"time"
)

// MaxDocumentBytes is the maximum size of a document in bytes. The platform accepts
// a megabyte; the lower limit keeps full reads within the control traffic budget of a
// daemon.
const MaxDocumentBytes = 256 << 10

// Schema is the supported version of the document format.
const Schema = 1

// Document is an accepted configuration. It is immutable after Parse.
type Document struct {
	Schema     int               `toml:"schema"`
	Defaults   Defaults          `toml:"defaults"`
	Workspaces []WorkspaceConfig `toml:"workspaces"`
	Exceptions []ExceptionRule   `toml:"exceptions"`
}

// Defaults holds the settings of the whole fleet.
type Defaults struct {
	Objective       string          `toml:"objective"`
	OriginRegion    string          `toml:"origin_region"`
	MaxOriginCopies float64         `toml:"max_origin_copies"`
	MinServing      int             `toml:"min_serving"`
	KeepOldSeconds  int             `toml:"keep_old_seconds"`
	Limits          Limits          `toml:"limits"`
	Models          []ModelConfig   `toml:"models"`
	Services        []ServiceConfig `toml:"services"`
}

// Limits bounds the requests that entries admit.
type Limits struct {
	QueuePerWorkspace int     `toml:"queue_per_workspace"` // requests
	QueueMillis       int     `toml:"queue_millis"`        // maximum wait in the queue
	RetryShare        float64 `toml:"retry_share"`         // retries per first attempt
	CrashTargets      int     `toml:"crash_targets"`       // maximum number of targets that one request may crash
	OrderSeconds      int     `toml:"order_seconds"`       // lifetime of an order ticket
}

// ModelConfig configures a model: its version and the pool that serves it.
type ModelConfig struct {
	Name    string `toml:"name"`
	Version string `toml:"version"`
	Pool    string `toml:"pool"`
}

// ServiceConfig configures a plain service and the pool that runs it.
type ServiceConfig struct {
	Name       string `toml:"name"`
	Pool       string `toml:"pool"`
	Repeatable bool   `toml:"repeatable"`
}

// WorkspaceConfig configures a workspace and its relative share of a contended entry.
type WorkspaceConfig struct {
	Name   string  `toml:"name"`
	Weight float64 `toml:"weight"`
}

// ExceptionRule changes defaults within a scope and carries a written reason.
type ExceptionRule struct {
	Name    string    `toml:"name"`
	Reason  string    `toml:"reason"`
	Expires time.Time `toml:"expires"`
	Scope   Scope     `toml:"scope"`
	Set     Change    `toml:"set"`
}

// Scope selects targets (region, availability zone, target) or requests
// (workspace, share). A model narrows either kind. Empty fields match everything.
type Scope struct {
	Region    string  `toml:"region"`
	Zone      string  `toml:"availability_zone"`
	Target    string  `toml:"target"`
	Model     string  `toml:"model"`
	Workspace string  `toml:"workspace"`
	Share     float64 `toml:"share"`
}

// Change lists the settings that an exception changes. Zero fields leave a setting
// unchanged.
type Change struct {
	Version           string  `toml:"version"`
	Objective         string  `toml:"objective"`
	MaxOriginCopies   float64 `toml:"max_origin_copies"`
	MinServing        int     `toml:"min_serving"`
	Weight            float64 `toml:"weight"`
	QueuePerWorkspace int     `toml:"queue_per_workspace"`
	MaxClass          string  `toml:"max_class"`
}

// Default values of fields that a document omits.
const (
	DefaultTimeCopies        = 2.0  // origin copies for objective time
	DefaultOriginCopies      = 1.05 // origin copies for objective origin_bytes
	DefaultMinServing        = 1
	DefaultKeepOldSeconds    = 60
	DefaultQueuePerWorkspace = 64
	DefaultQueueMillis       = 10_000
	DefaultRetryShare        = 0.1
	DefaultCrashTargets      = 2
	DefaultOrderSeconds      = 600
)

// ModelPlan holds the settings of one model on one target.
type ModelPlan struct {
	Model           fleet.Model   `json:"model"`
	Version         fleet.Version `json:"version"`
	Objective       string        `json:"objective"`
	MaxOriginCopies float64       `json:"max_origin_copies"`
	MinServing      int           `json:"min_serving"`
	KeepOld         time.Duration `json:"keep_old"`
	From            string        `json:"from"` // "defaults" or the name of the exception that set the version
}

// TargetPlan is a document resolved for one target instance.
type TargetPlan struct {
	Models        []ModelPlan     `json:"models"`
	Services      []fleet.Service `json:"services"`
	OriginRegion  fleet.Region    `json:"origin_region"`
	OrderLifetime time.Duration   `json:"order_life"`
}

// RequestLimits holds the limits of a document resolved for one workspace.
type RequestLimits struct {
	Weight      float64
	MaxQueued   int
	QueueWait   time.Duration
	MaxClass    fleet.Class
	HasMaxClass bool
}

// Setting is one resolved value and its source, for `explain`.
type Setting struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	From   string `json:"from"`
	Reason string `json:"reason,omitempty"`
}
