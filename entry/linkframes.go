package entry

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcerr"

	"github.com/jacinthstall/jacinthstall/linkcap"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
)

const (
	// frameOverheadBytes is the most that drpc adds to a message: one byte and
	// three varints of up to 10 bytes.
	frameOverheadBytes = 32
	// streamOverheadBytes covers the name of the call, the end of the stream in
	// one direction, and a cancellation or a short error.
	streamOverheadBytes = 192
	// bodyFrameOverheadBytes is the most that encoding adds to the bytes of a
	// body frame.
	bodyFrameOverheadBytes = frameOverheadBytes + 8
	// linkCapCode is the drpc error code of a response that the link cap does
	// not permit.
	linkCapCode = 803
)

// linkPath acquires the link bytes for the frames of one request or response to
// another region.
type linkPath struct {
	limiter     *linkLimiter
	ctx         context.Context
	to, moveKey string
	deadline    time.Time
}

// acquire waits until a frame of the given size may be sent. It returns a
// function that must be called once the frame has been written. Frames within
// the region need no permission.
func (p *linkPath) acquire(bytes int64) (func(), error) {
	if !p.limiter.usesLink(p.to) {
		return func() {}, nil
	}
	permit, err := p.limiter.acquire(p.ctx, p.to, p.moveKey, bytes, time.Until(p.deadline))
	if err != nil {
		return nil, err
	}
	return permit.release, nil
}

// maxBodyBytes returns the most body bytes that one frame may carry.
func (p *linkPath) maxBodyBytes() int {
	if !p.limiter.usesLink(p.to) {
		return maxRelayFrameBytes
	}
	return int(max(p.limiter.maxFrameBytes(p.to, p.moveKey)-bodyFrameOverheadBytes, 1))
}

func headFrameBytes(frame *peerpb.RelayFrame) int64 {
	return int64(proto.Size(frame)) + frameOverheadBytes + streamOverheadBytes
}

// linkLimitedSender sends frames and waits before each until the link cap
// permits it.
type linkLimitedSender struct {
	frameSender
	path *linkPath
}

// Send sends one frame. When the link's share was reduced since the size of a
// body frame was chosen, the body may exceed the burst; it is then sent in
// several frames. The error is a *linkcap.RefusalError when the cap does not permit
// the frame, or part of it, in time.
func (s *linkLimitedSender) Send(frame *peerpb.RelayFrame) error {
	for {
		err := s.sendFrame(frame)
		body, maxBytes := frame.GetBody(), s.path.maxBodyBytes()
		var refusal *linkcap.RefusalError
		if !errors.As(err, &refusal) || refusal.Reason != linkcap.TooLarge || len(body) <= maxBytes {
			return err
		}
		if err := s.sendFrame(bodyFrame(body[:maxBytes])); err != nil {
			return err
		}
		frame = bodyFrame(body[maxBytes:])
	}
}

func bodyFrame(body []byte) *peerpb.RelayFrame {
	return &peerpb.RelayFrame{Frame: &peerpb.RelayFrame_Body{Body: body}}
}

// sendFrame sends the whole frame or nothing.
func (s *linkLimitedSender) sendFrame(frame *peerpb.RelayFrame) error {
	size := int64(proto.Size(frame)) + frameOverheadBytes
	if frame.GetHead() != nil {
		size = headFrameBytes(frame)
	}
	release, err := s.path.acquire(size)
	if err != nil {
		return err
	}
	defer release()
	return s.frameSender.Send(frame)
}

// isLinkCapError reports whether a frame was refused because of the link cap,
// on this side or by the peer.
func isLinkCapError(err error) bool {
	var refusal *linkcap.RefusalError
	return errors.As(err, &refusal) || drpcerr.Code(err) == linkCapCode
}

// withLinkCapCode adds linkCapCode to a link cap error, so that the peer at the
// other end of the stream recognizes it.
func withLinkCapCode(err error) error {
	if isLinkCapError(err) {
		return drpcerr.WithCode(errors.New("link cap"), linkCapCode)
	}
	return err
}

func linkCapRefusal(executed outcome.Executed) outcome.Outcome {
	return outcome.Outcome{Status: 503, Reason: outcome.ReasonLinkCap, Executed: executed}
}
