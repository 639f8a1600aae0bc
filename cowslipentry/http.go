package cowslipentry

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// Limits of a request to the callers' and operators' servers.
const (
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 1 << 20
)

func init() { hlog.SetLevel(hlog.LevelFatal) }

func (e *Entry) newServer(p Port, l net.Listener, t *tls.Config) *server.Hertz {
	o := []config.Option{
		server.WithListener(e.LimitConns(p, l, t != nil)),
		server.WithOnAccept(withConn),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
	}
	if t != nil {
		o = append(o, server.WithTLS(t))
	} else {
		o = append(o, server.WithSenseClientDisconnection(true))
	}
	h := server.New(o...)
	h.Use(limitRequest)
	return h
}

func stopServer(h *server.Hertz) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout/10)
	defer cancel()
	h.Shutdown(ctx)
}

// decode decodes a JSON body into v. It refuses unknown fields.
func decode(c *app.RequestContext, v any) *Refusal {
	d := json.NewDecoder(bytes.NewReader(c.Request.Body()))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return refuse(CodeBadRequest, "body: "+err.Error())
	}
	return nil
}

type errorBody struct {
	Error *Refusal `json:"error"`
}

func sendRefusal(c *app.RequestContext, r *Refusal) {
	if r.RetryAfterMillis > 0 {
		c.Header("Retry-After", strconv.FormatInt((r.RetryAfterMillis+999)/1000, 10))
	}
	c.JSON(codeStatus[r.Code], errorBody{Error: r})
}
