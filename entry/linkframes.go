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
	// frameOverhead is the most that drpc adds to a message: one byte and three
	// numbers of up to 10 bytes.
	frameOverhead = 32
	// streamOverhead covers the name of the call, the end of the stream in one
	// direction and a cancellation or a short error.
	streamOverhead = 192
	// bodyOverhead is what the encoding of a body frame adds to its bytes.
	bodyOverhead = frameOverhead + 8
	// linkCapCode is the drpc code of an answer that the cap of the link does
	// not let through.
	linkCapCode = 803
)

// linkPath is what frames of one request to another region are charged to.
type linkPath struct {
	links    *links
	ctx      context.Context
	to, move string
	deadline time.Time
}

// take waits for the bytes of a frame. It returns nil without an error when the
// frame stays in the region.
func (p *linkPath) take(bytes int64) (func(), error) {
	if !p.links.crosses(p.to) {
		return func() {}, nil
	}
	taken, err := p.links.take(p.ctx, p.to, p.move, bytes, time.Until(p.deadline))
	if err != nil {
		return nil, err
	}
	return taken.written, nil
}

// bodyBytes returns the most bytes of a body that one frame may carry.
func (p *linkPath) bodyBytes() int {
	if !p.links.crosses(p.to) {
		return relayFrameBytes
	}
	return int(max(p.links.largest(p.to, p.move)-bodyOverhead, 1))
}

func headBytes(frame *peerpb.RelayFrame) int64 {
	return int64(proto.Size(frame)) + frameOverhead + streamOverhead
}

// cappedSender sends frames after their bytes were taken from the link.
type cappedSender struct {
	frameSender
	path *linkPath
}

// Send waits for the link and sends one frame. A body that exceeds the burst
// since the share became smaller is sent in parts. The error is a *linkcap.RefusalError
// when the cap does not allow the frame or a part of it in time.
func (s *cappedSender) Send(frame *peerpb.RelayFrame) error {
	for {
		err := s.sendOne(frame)
		body, size := frame.GetBody(), s.path.bodyBytes()
		var refusal *linkcap.RefusalError
		if !errors.As(err, &refusal) || refusal.Reason != linkcap.TooLarge || len(body) <= size {
			return err
		}
		if err := s.sendOne(bodyFrame(body[:size])); err != nil {
			return err
		}
		frame = bodyFrame(body[size:])
	}
}

func bodyFrame(body []byte) *peerpb.RelayFrame {
	return &peerpb.RelayFrame{Frame: &peerpb.RelayFrame_Body{Body: body}}
}

// sendOne sends a frame whole or not at all.
func (s *cappedSender) sendOne(frame *peerpb.RelayFrame) error {
	bytes := int64(proto.Size(frame)) + frameOverhead
	if frame.GetHead() != nil {
		bytes = headBytes(frame)
	}
	written, err := s.path.take(bytes)
	if err != nil {
		return err
	}
	defer written()
	return s.frameSender.Send(frame)
}

// isLinkCap reports whether a frame was refused because of a link's cap, here
// or by the other end.
func isLinkCap(err error) bool {
	var refusal *linkcap.RefusalError
	return errors.As(err, &refusal) || drpcerr.Code(err) == linkCapCode
}

// withLinkCapCode marks an error for the other end of a stream.
func withLinkCapCode(err error) error {
	if isLinkCap(err) {
		return drpcerr.WithCode(errors.New("link cap"), linkCapCode)
	}
	return err
}

func linkCapped(executed outcome.Executed) outcome.Outcome {
	return outcome.Outcome{Status: 503, Reason: outcome.ReasonLinkCap, Executed: executed}
}
