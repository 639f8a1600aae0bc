package cowslipstandin

import (
	"context"
	"net"
	"strconv"
	"time"

	"cowslipflow/cowslipplatform"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/juju/errors"
)

// ServePlatform serves a platform on l with the protocol of docs/PLATFORM.md until ctx
// ends.
func ServePlatform(ctx context.Context, l net.Listener, p *Platform) error {
	h := newServer(l)
	store := func(c *app.RequestContext) *cowslipplatform.Store {
		return p.Store(string(c.GetHeader("X-Client")))
	}
	h.GET("/v1/kv", func(ctx context.Context, c *app.RequestContext) {
		v, err := store(c).Get(ctx, c.Query("key"))
		writeResponse(c, v, err)
	})
	h.PUT("/v1/kv", func(ctx context.Context, c *app.RequestContext) {
		var w cowslipplatform.Write
		if !decodeBody(c, &w) {
			return
		}
		n, err := store(c).Put(ctx, w)
		writeResponse(c, cowslipplatform.Value{Key: w.Key, Revision: n}, err)
	})
	h.DELETE("/v1/kv", func(ctx context.Context, c *app.RequestContext) {
		n, _ := strconv.ParseUint(c.Query("expect"), 10, 64)
		writeResponse(c, nil, store(c).Delete(ctx, c.Query("key"), cowslipplatform.NewRevision(0, n)))
	})
	h.GET("/v1/list", func(ctx context.Context, c *app.RequestContext) {
		v, err := store(c).List(ctx, c.Query("prefix"))
		writeResponse(c, v, err)
	})
	h.GET("/v1/watch", func(ctx context.Context, c *app.RequestContext) {
		n, _ := strconv.ParseUint(c.Query("after"), 10, 64)
		d, _ := time.ParseDuration(c.Query("wait"))
		v, err := store(c).Watch(ctx, c.Query("key"), cowslipplatform.NewRevision(0, n), d)
		writeResponse(c, v, err)
	})
	h.POST("/v1/leases", func(ctx context.Context, c *app.RequestContext) {
		d, _ := time.ParseDuration(c.Query("ttl"))
		n, err := store(c).Grant(ctx, d)
		writeResponse(c, map[string]cowslipplatform.Lease{"id": n}, err)
	})
	h.PUT("/v1/leases", func(ctx context.Context, c *app.RequestContext) {
		n, _ := strconv.ParseUint(c.Query("id"), 10, 64)
		writeResponse(c, nil, store(c).KeepAlive(ctx, cowslipplatform.NewLease(0, n)))
	})
	h.DELETE("/v1/leases", func(ctx context.Context, c *app.RequestContext) {
		n, _ := strconv.ParseUint(c.Query("id"), 10, 64)
		writeResponse(c, nil, store(c).Revoke(ctx, cowslipplatform.NewLease(0, n)))
	})
	h.GET("/v1/instances", func(ctx context.Context, c *app.RequestContext) {
		v, err := store(c).Instances(ctx)
		writeResponse(c, v, err)
	})
	h.PUT("/v1/instances", func(_ context.Context, c *app.RequestContext) {
		var i cowslipplatform.Instance
		if decodeBody(c, &i) {
			p.SetInstance(i)
			writeResponse(c, nil, nil)
		}
	})
	h.DELETE("/v1/instances", func(_ context.Context, c *app.RequestContext) {
		p.RemoveInstance(c.Query("id"))
		writeResponse(c, nil, nil)
	})
	h.PUT("/v1/faults", func(_ context.Context, c *app.RequestContext) {
		var f PlatformFaults
		if decodeBody(c, &f) {
			p.SetFaults(f)
			writeResponse(c, nil, nil)
		}
	})
	h.GET("/v1/record", func(_ context.Context, c *app.RequestContext) { writeResponse(c, p.Record(), nil) })
	go func() {
		<-ctx.Done()
		shutdown(h)
	}()
	if err := h.Run(); err != nil && ctx.Err() == nil {
		return errors.Annotate(err, "cowslipstandin: platform")
	}
	return nil
}

func writeResponse(c *app.RequestContext, v any, err error) {
	switch {
	case err == nil && v == nil:
		c.JSON(200, struct{}{})
	case err == nil:
		c.JSON(200, v)
	case errors.Is(err, cowslipplatform.ErrNotFound), errors.Is(err, cowslipplatform.ErrLeaseExpired):
		c.JSON(404, map[string]string{"error": err.Error()})
	case errors.Is(err, cowslipplatform.ErrConflict):
		c.JSON(409, map[string]string{"error": err.Error()})
	default:
		c.JSON(503, map[string]string{"error": err.Error()})
	}
}
