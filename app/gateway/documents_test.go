package gateway

import (
	"runtime"
	"testing"
	"time"
	"weak"

	"gotest.tools/v3/assert"

	"amaranthturn/core/forward"
	"amaranthturn/core/routeconfig"
)

func largeDocument(version uint64) *routeconfig.Document {
	services := []routeconfig.Service{{Name: "s", Engine: &routeconfig.Engine{Slots: 8}}, {Name: "other"}}
	routes := []routeconfig.Route{
		{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Services: []routeconfig.WeightedService{{Service: "s", Weight: 1}}},
		{Name: "other", Host: "other", Prefix: "/", Timeout: time.Second, Services: []routeconfig.WeightedService{{Service: "other", Weight: 1}}},
	}
	return routeconfig.New(version, routes, services, routeconfig.Limits{}, nil)
}

// Guards against memory that grows with the configurations that come in force while a request is in progress:
// each request held the whole configuration by which its route was resolved.
func TestRequestInProgressHoldsNoReplacedConfiguration(t *testing.T) {
	g, _ := newTestGateway(t)
	doc := largeDocument(1)
	other, ok := doc.Match("other", "/")
	assert.Assert(t, ok)
	service, ok := doc.Service("other")
	assert.Assert(t, ok)
	heldDoc, heldRoute, heldService := weak.Make(doc), weak.Make(other), weak.Make(service)
	g.doc.Store(doc)
	h := &requestHandler{g: g, call: &forward.Call{ID: "a1", Host: "h", Path: "/x", Timeout: time.Minute}, startedAt: g.now()}
	assert.Assert(t, h.prepare() == nil)
	h.startDeadline(t.Context())
	defer h.endDeadline()
	g.mu.Lock()
	g.putInForce(largeDocument(2))
	g.mu.Unlock()
	runtime.GC()
	assert.Check(t, heldDoc.Value() == nil, "the document")
	assert.Check(t, heldRoute.Value() == nil, "a route of another request")
	assert.Check(t, heldService.Value() == nil, "another service")
	assert.Equal(t, h.configVersion, uint64(1))
	assert.Equal(t, h.engine.Slots, 8)
}
