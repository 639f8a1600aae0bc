package cowslippeer

import (
	"context"
	"net"

	"cowslipflow/cowslipmessage"

	"github.com/juju/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Server handles requests of other entry instances. Its functions must be set
// before Serve is called, and must be safe for concurrent use. OnUsage, OnWarn and OnLearn
// may be nil; their calls then fail.
type Server struct {
	OnExchange func(context.Context, *cowslipmessage.State) (*cowslipmessage.State, error)
	OnEvents   func(context.Context, *cowslipmessage.EventsRequest) (*cowslipmessage.EventsReply, error)
	OnFollow   func(context.Context, *cowslipmessage.FollowRequest) (*cowslipmessage.FollowReply, error)
	OnRelay    func(cowslipmessage.DRPCPeer_RelayStream) error
	OnUsage    func(context.Context, *cowslipmessage.UsageReport) (*cowslipmessage.UsageReply, error)
	OnWarn     func(context.Context, *cowslipmessage.CrashWarning) (*cowslipmessage.CrashWarningReply, error)
	OnLearn    func(context.Context, *cowslipmessage.TargetEstimates) (*cowslipmessage.TargetEstimates, error)
}

const (
	// errUnsupported is the error of a call whose function is not set.
	errUnsupported = errors.ConstError("cowslippeer: call not supported")
	// errFull means that the connections of peers hold too much memory for a call.
	errFull = errors.ConstError("cowslippeer: connections hold too much memory")
)

// Exchange implements the Exchange method of the protocol by calling OnExchange.
func (s *Server) Exchange(ctx context.Context, m *cowslipmessage.State) (*cowslipmessage.State, error) {
	return serve(ctx, m, s.OnExchange)
}

// Events implements the Events method of the protocol by calling OnEvents.
func (s *Server) Events(ctx context.Context, r *cowslipmessage.EventsRequest) (*cowslipmessage.EventsReply, error) {
	return serve(ctx, r, s.OnEvents)
}

// Follow implements the Follow method of the protocol by calling OnFollow.
func (s *Server) Follow(ctx context.Context, r *cowslipmessage.FollowRequest) (*cowslipmessage.FollowReply, error) {
	return serve(ctx, r, s.OnFollow)
}

// Relay implements the Relay method of the protocol by calling OnRelay.
func (s *Server) Relay(x cowslipmessage.DRPCPeer_RelayStream) error {
	l := &limitedStream{DRPCPeer_RelayStream: x}
	defer l.end()
	return s.OnRelay(l)
}

// Usage implements the Usage method of the protocol by calling OnUsage.
func (s *Server) Usage(ctx context.Context, r *cowslipmessage.UsageReport) (*cowslipmessage.UsageReply, error) {
	if s.OnUsage == nil {
		return nil, errUnsupported
	}
	return serve(ctx, r, s.OnUsage)
}

// Warn implements the Warn method of the protocol by calling OnWarn.
func (s *Server) Warn(ctx context.Context, w *cowslipmessage.CrashWarning) (*cowslipmessage.CrashWarningReply, error) {
	if s.OnWarn == nil {
		return nil, errUnsupported
	}
	return serve(ctx, w, s.OnWarn)
}

// Learn implements the Learn method of the protocol by calling OnLearn.
func (s *Server) Learn(ctx context.Context, m *cowslipmessage.TargetEstimates) (*cowslipmessage.TargetEstimates, error) {
	if s.OnLearn == nil {
		return nil, errUnsupported
	}
	return serve(ctx, m, s.OnLearn)
}

// Serve accepts connections until ctx ends, then closes l.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	m := drpcmux.New()
	if err := cowslipmessage.DRPCRegisterPeer(m, s); err != nil {
		return errors.Annotate(err, "cowslippeer: register service")
	}
	if err := drpcserver.New(m).Serve(ctx, l); err != nil && ctx.Err() == nil {
		return errors.Annotate(err, "cowslippeer: serve")
	}
	return nil
}
