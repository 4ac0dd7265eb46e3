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
	// frameOverheadBytes is the most that drpc adds to a message: one byte and three
	// numbers of up to 10 bytes.
	frameOverheadBytes = 32
	// streamOverheadBytes covers the name of the call, the end of the stream in one
	// direction and a cancellation or a short error.
	streamOverheadBytes = 192
	// bodyFrameOverheadBytes is what the encoding of a body frame adds to its bytes.
	bodyFrameOverheadBytes = frameOverheadBytes + 8
	// linkCapCode is the drpc code of an answer that the cap of the link does
	// not let through.
	linkCapCode = 803
)

// linkPath is what frames of one request to another region are charged to.
type linkPath struct {
	limiter     *linkLimiter
	ctx         context.Context
	to, moveKey string
	deadline    time.Time
}

// acquire waits for the bytes of a frame. It returns nil without an error when the
// frame stays in the region.
func (p *linkPath) acquire(bytes int64) (func(), error) {
	if !p.limiter.usesLink(p.to) {
		return func() {}, nil
	}
	taken, err := p.limiter.acquire(p.ctx, p.to, p.moveKey, bytes, time.Until(p.deadline))
	if err != nil {
		return nil, err
	}
	return taken.release, nil
}

// maxBodyBytes returns the most bytes of a body that one frame may carry.
func (p *linkPath) maxBodyBytes() int {
	if !p.limiter.usesLink(p.to) {
		return maxRelayFrameBytes
	}
	return int(max(p.limiter.maxFrameBytes(p.to, p.moveKey)-bodyFrameOverheadBytes, 1))
}

func headFrameBytes(frame *peerpb.RelayFrame) int64 {
	return int64(proto.Size(frame)) + frameOverheadBytes + streamOverheadBytes
}

// linkLimitedSender sends frames after their bytes were taken from the link.
type linkLimitedSender struct {
	frameSender
	path *linkPath
}

// Send waits for the link and sends one frame. A body that exceeds the burst
// since the share became smaller is sent in parts. The error is a *linkcap.RefusalError
// when the cap does not allow the frame or a part of it in time.
func (s *linkLimitedSender) Send(frame *peerpb.RelayFrame) error {
	for {
		err := s.sendFrame(frame)
		body, size := frame.GetBody(), s.path.maxBodyBytes()
		var refusal *linkcap.RefusalError
		if !errors.As(err, &refusal) || refusal.Reason != linkcap.TooLarge || len(body) <= size {
			return err
		}
		if err := s.sendFrame(bodyFrame(body[:size])); err != nil {
			return err
		}
		frame = bodyFrame(body[size:])
	}
}

func bodyFrame(body []byte) *peerpb.RelayFrame {
	return &peerpb.RelayFrame{Frame: &peerpb.RelayFrame_Body{Body: body}}
}

// sendFrame sends a frame whole or not at all.
func (s *linkLimitedSender) sendFrame(frame *peerpb.RelayFrame) error {
	bytes := int64(proto.Size(frame)) + frameOverheadBytes
	if frame.GetHead() != nil {
		bytes = headFrameBytes(frame)
	}
	written, err := s.path.acquire(bytes)
	if err != nil {
		return err
	}
	defer written()
	return s.frameSender.Send(frame)
}

// isLinkCapError reports whether a frame was refused because of a link's cap, here
// or by the other end.
func isLinkCapError(err error) bool {
	var refusal *linkcap.RefusalError
	return errors.As(err, &refusal) || drpcerr.Code(err) == linkCapCode
}

// withLinkCapCode marks an error for the other end of a stream.
func withLinkCapCode(err error) error {
	if isLinkCapError(err) {
		return drpcerr.WithCode(errors.New("link cap"), linkCapCode)
	}
	return err
}

func linkCapRefusal(executed outcome.Executed) outcome.Outcome {
	return outcome.Outcome{Status: 503, Reason: outcome.ReasonLinkCap, Executed: executed}
}
