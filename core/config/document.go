// Package config reads the fleet's configuration: defaults plus exceptions that
// each carry a written reason.
//
// # Usage
//
//	doc, err := config.Parse(body)
//	if err != nil {
//		// err is *config.RefusedError and lists every problem with its line.
//	}
//	plan := doc.PlanFor(instance)
//	version := doc.VersionFor(workspace, model, fingerprint)
//
// Parse is a pure function of the document: every instance and `config check`
// come to the same verdict. No clock enters it, so the expiry of an exception is
// shown to operators and never changes by itself what is in force.
package config

import (
	"amaranthturn/core/fleet"
	"time"
)

// MaxDocumentBytes bounds a document, in bytes. The platform holds a megabyte;
// the lower bound keeps full reads within the control budget of a daemon.
const MaxDocumentBytes = 256 << 10

// Schema is the version of the document's format.
const Schema = 1

// Document is an accepted configuration. It is immutable after Parse.
type Document struct {
	Schema     int             `toml:"schema"`
	Defaults   Defaults        `toml:"defaults"`
	Workspaces []WorkspaceRow  `toml:"workspaces"`
	Exceptions []ExceptionRule `toml:"exceptions"`
}

// Defaults hold for the whole fleet.
type Defaults struct {
	Objective       string       `toml:"objective"`
	OriginRegion    string       `toml:"origin_region"`
	MaxOriginCopies float64      `toml:"max_origin_copies"`
	MinServing      int          `toml:"min_serving"`
	KeepOldSeconds  int          `toml:"keep_old_seconds"`
	Limits          Limits       `toml:"limits"`
	Models          []ModelRow   `toml:"models"`
	Services        []ServiceRow `toml:"services"`
}

// Limits bound what the entries admit.
type Limits struct {
	QueuePerWorkspace int     `toml:"queue_per_workspace"` // requests
	QueueMillis       int     `toml:"queue_millis"`        // longest wait in the queue
	RetryShare        float64 `toml:"retry_share"`         // retries per first attempt
	CrashTargets      int     `toml:"crash_targets"`       // targets that one request may crash
	OrderSeconds      int     `toml:"order_seconds"`       // life of an order ticket
}

// ModelRow names a model, its version and the pool that serves it.
type ModelRow struct {
	Name    string `toml:"name"`
	Version string `toml:"version"`
	Pool    string `toml:"pool"`
}

// ServiceRow names a plain service and the pool that serves it.
type ServiceRow struct {
	Name       string `toml:"name"`
	Pool       string `toml:"pool"`
	Repeatable bool   `toml:"repeatable"`
}

// WorkspaceRow names a workspace and its share of a contended entry.
type WorkspaceRow struct {
	Name   string  `toml:"name"`
	Weight float64 `toml:"weight"`
}

// ExceptionRule changes defaults within a scope, for a written reason.
type ExceptionRule struct {
	Name    string    `toml:"name"`
	Reason  string    `toml:"reason"`
	Expires time.Time `toml:"expires"`
	Scope   Scope     `toml:"scope"`
	Set     Change    `toml:"set"`
}

// Scope selects targets (region, availability zone, target) or requests
// (workspace, share); a model narrows either. Empty fields match everything.
type Scope struct {
	Region    string  `toml:"region"`
	Zone      string  `toml:"availability_zone"`
	Target    string  `toml:"target"`
	Model     string  `toml:"model"`
	Workspace string  `toml:"workspace"`
	Share     float64 `toml:"share"`
}

// Change lists what an exception sets; zero fields stay as they are.
type Change struct {
	Version           string  `toml:"version"`
	Objective         string  `toml:"objective"`
	MaxOriginCopies   float64 `toml:"max_origin_copies"`
	MinServing        int     `toml:"min_serving"`
	Weight            float64 `toml:"weight"`
	QueuePerWorkspace int     `toml:"queue_per_workspace"`
	MaxClass          string  `toml:"max_class"`
}

// Default values of fields that a document leaves out.
const (
	DefaultTimeCopies     = 2.0  // origin copies with the objective time
	DefaultOriginCopies   = 1.05 // origin copies with the objective origin_bytes
	DefaultMinServing     = 1
	DefaultKeepOldSeconds = 60
	DefaultQueue          = 64
	DefaultQueueMillis    = 10_000
	DefaultRetryShare     = 0.1
	DefaultCrashTargets   = 2
	DefaultOrderSeconds   = 600
)

// ModelPlan is what one target does about one model.
type ModelPlan struct {
	Model           fleet.Model   `json:"model"`
	Version         fleet.Version `json:"version"`
	Objective       string        `json:"objective"`
	MaxOriginCopies float64       `json:"max_origin_copies"`
	MinServing      int           `json:"min_serving"`
	KeepOld         time.Duration `json:"keep_old"`
	From            string        `json:"from"` // "defaults" or the exception that set the version
}

// TargetPlan is a document resolved for one target instance.
type TargetPlan struct {
	Models       []ModelPlan     `json:"models"`
	Services     []fleet.Service `json:"services"`
	OriginRegion fleet.Region    `json:"origin_region"`
	OrderLife    time.Duration   `json:"order_life"`
}

// RequestLimits is a document resolved for one workspace.
type RequestLimits struct {
	Weight    float64
	Queue     int
	QueueWait time.Duration
	MaxClass  fleet.Class
	HasClass  bool
}

// Setting is one resolved value and what gave it, for `explain`.
type Setting struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	From   string `json:"from"`
	Reason string `json:"reason,omitempty"`
}
