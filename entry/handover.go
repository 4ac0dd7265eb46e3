package entry

import (
	"context"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/membership"
	"github.com/jacinthstall/jacinthstall/once"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
)

const (
	handOverTimeout  = 2 * time.Second // For one message.
	handOverAttempts = 2
)

// Values of OnceRecord.State in a hand-over message.
const (
	recordResponded   = 1
	recordUnknown     = 2
	recordBodyDropped = 3 // A response was received, but its body was too long to keep.
)

// handOver transfers the idempotency records to one successor. Keys whose
// records could not be transferred keep the outcome "unknown".
func (inst *Instance) handOver(ctx context.Context) {
	for _, member := range inst.nearestPeers() {
		client := inst.peers.Client(ctx, member.PeerAddress)
		successor, ok := inst.confirmSuccessor(ctx, member)
		if !ok {
			continue
		}
		inst.sendBatches(ctx, successorPeer{client, member.Region}, successor, inst.keyRegistry.HandOver(time.Now(), successor))
		return
	}
	inst.events.Emit(events.RecordsNotHandedOver, log.Fields{"successor": "", "issuer": inst.settings.Name})
}

// confirmSuccessor asks a member for its state. It returns the member's
// incarnation, and false when the member is unreachable or leaving.
func (inst *Instance) confirmSuccessor(ctx context.Context, member membership.Member) (once.Issuer, bool) {
	from, err := inst.exchangeState(ctx, member)
	if err != nil || from == nil || from.State != peerpb.MemberState_MEMBER_STATE_ALIVE {
		return once.Issuer{}, false
	}
	return once.Issuer{Instance: from.Name, Incarnation: from.Incarnation}, true
}

// successorPeer is the connection to the successor of a hand-over.
type successorPeer struct {
	client peerpb.DRPCPeerClient
	region string
}

// sendBatches sends the batches of records. After a batch that is not accepted,
// it skips the remaining batches of the same issuer.
func (inst *Instance) sendBatches(ctx context.Context, to successorPeer, successor once.Issuer, batches []once.Batch) {
	failed := map[once.Issuer]bool{}
	for _, batch := range batches {
		if !failed[batch.Issuer] && !inst.sendBatch(ctx, to, batch) {
			failed[batch.Issuer] = true
			inst.events.Emit(events.RecordsNotHandedOver, log.Fields{"successor": successor.Instance, "issuer": batch.Issuer.Instance})
		}
	}
	if len(failed) == 0 {
		inst.events.Emit(events.RecordsHandedOver, log.Fields{"successor": successor.Instance, "batches": len(batches)})
	}
}

func (inst *Instance) sendBatch(ctx context.Context, successor successorPeer, batch once.Batch) bool {
	message := batchToProto(batch)
	for range handOverAttempts {
		response, err := inst.sendHandOver(ctx, successor, message)
		if err == nil {
			return response.Accepted
		}
	}
	return false
}

// sendHandOver sends one hand-over message. When the successor is in another
// region, the message counts against the cap of the link.
func (inst *Instance) sendHandOver(ctx context.Context, successor successorPeer, message *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	path := &linkPath{limiter: inst.linkLimiter, ctx: ctx, to: successor.region, deadline: time.Now().Add(handOverTimeout)}
	release, err := path.acquire(int64(proto.Size(message)) + frameOverheadBytes + streamOverheadBytes)
	if err != nil {
		return nil, err
	}
	defer release()
	return successor.client.HandOver(ctx, message)
}

func batchToProto(batch once.Batch) *peerpb.HandOverRequest {
	message := &peerpb.HandOverRequest{Issuer: batch.Issuer.Instance, Incarnation: batch.Issuer.Incarnation, KeyEpoch: batch.LastKeyEpoch,
		Last: batch.Last, SuccessorIncarnation: batch.Successor.Incarnation, Sequence: batch.Sequence, OldestEpoch: batch.OldestEpoch}
	for _, record := range batch.Records {
		message.Records = append(message.Records, recordToProto(record))
	}
	return message
}

func recordToProto(record once.Record) *peerpb.OnceRecord {
	state := uint32(recordUnknown)
	switch {
	case record.Result.Executed == outcome.Yes && record.Result.BodyDropped:
		state = recordBodyDropped
	case record.Result.Executed == outcome.Yes:
		state = recordResponded
	}
	return &peerpb.OnceRecord{Key: record.Key.String(), State: state, Status: uint32(record.Result.Status),
		Reason: string(record.Result.Reason), Body: record.Result.Body, ContentType: record.Result.ContentType,
		Fingerprint: record.Fingerprint[:]}
}

// HandOver handles records of a peer that is stopping.
func (server *peerServer) HandOver(_ context.Context, message *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error) {
	batch := once.Batch{
		Issuer:      once.Issuer{Instance: message.Issuer, Incarnation: message.Incarnation},
		Successor:   once.Issuer{Instance: server.instance.settings.Name, Incarnation: message.SuccessorIncarnation},
		OldestEpoch: message.OldestEpoch, LastKeyEpoch: message.KeyEpoch, Sequence: message.Sequence, Last: message.Last,
	}
	for _, rec := range message.Records {
		record, ok := recordFromProto(rec)
		if !ok {
			return &peerpb.HandOverResponse{}, nil
		}
		batch.Records = append(batch.Records, record)
	}
	return &peerpb.HandOverResponse{Accepted: server.instance.keyRegistry.Accept(time.Now(), batch)}, nil
}

func recordFromProto(message *peerpb.OnceRecord) (once.Record, bool) {
	key, err := once.ParseKey(message.Key)
	record := once.Record{Key: key, Result: once.Result{Executed: outcome.Unknown, Status: int(message.Status),
		Reason: outcome.Reason(message.Reason), ContentType: message.ContentType, Body: message.Body}}
	if err != nil || len(message.Fingerprint) != len(record.Fingerprint) {
		return once.Record{}, false
	}
	copy(record.Fingerprint[:], message.Fingerprint)
	if message.State == recordResponded || message.State == recordBodyDropped {
		record.Result.Executed = outcome.Yes
		record.Result.BodyDropped = message.State == recordBodyDropped
	}
	if message.Status != 0 && !isFinalStatus(message.Status) || message.Status == 0 && record.Result.Executed == outcome.Yes {
		// Rejecting the record would also reject the other records of its issuer.
		record.Result = once.Result{Executed: outcome.Unknown, Reason: outcome.ReasonIssuerGone}
	}
	return record, true
}

// isFinalStatus reports whether a status that a peer states is that of a final
// response.
func isFinalStatus(status uint32) bool { return status >= 200 && status <= 599 }
