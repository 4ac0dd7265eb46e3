package entry

import (
	"context"
	"errors"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/membertable"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
	"github.com/jacinthstall/jacinthstall/slots"
)

// watchTable watches the record while this instance is one of the watchers.
func (inst *Instance) watchTable(ctx context.Context) {
	for ctx.Err() == nil {
		if !inst.isTableWatcher() {
			sleep(ctx, tableWatchTime)
			continue
		}
		inst.memberTable.mu.Lock()
		revision := inst.memberTable.revision
		inst.memberTable.mu.Unlock()
		v, err := inst.platform.Watch(ctx, membertable.RecordKey(inst.settings.Region), revision, tableWatchTime)
		switch {
		case err == nil:
			inst.applyTableRecord(v.Data, v.Revision)
		case errors.Is(err, kv.ErrNotFound):
			inst.setNoTableRecord()
		default:
			sleep(ctx, tableTickInterval)
		}
	}
}

// isTableWatcher reports whether the instance is one of the first tableWatchers
// of its failure domain by rendezvous hashing.
func (inst *Instance) isTableWatcher() bool {
	ownWeight, higher := slots.RendezvousWeight(inst.settings.Domain, inst.settings.Name), 0
	for _, m := range inst.members.view().Members {
		if m.Domain == inst.settings.Domain && m.Usable() && slots.RendezvousWeight(inst.settings.Domain, m.Name) > ownWeight {
			higher++
		}
	}
	return higher < tableWatchers
}

func (inst *Instance) readTableRecord(ctx context.Context) error {
	v, err := inst.platform.Get(ctx, membertable.RecordKey(inst.settings.Region))
	if errors.Is(err, kv.ErrNotFound) {
		inst.setNoTableRecord()
		return nil
	}
	if err != nil {
		return err
	}
	inst.applyTableRecord(v.Data, v.Revision)
	return nil
}

func (inst *Instance) setNoTableRecord() {
	inst.memberTable.mu.Lock()
	defer inst.memberTable.mu.Unlock()
	inst.memberTable.loaded, inst.memberTable.revision = true, 0
}

// applyTableRecord applies a record from the platform (with its revision) or
// from a peer (with revision 0).
func (inst *Instance) applyTableRecord(data []byte, revision uint64) {
	record, err := membertable.Decode(data)
	if err != nil {
		inst.events.Emit(events.MemberTableRejected, log.Fields{"error": err.Error()})
		return
	}
	inst.memberTable.mu.Lock()
	changed := inst.memberTable.holder.ApplyRecord(record)
	if revision > 0 {
		inst.memberTable.loaded, inst.memberTable.revision = true, revision
	}
	version := inst.memberTable.holder.ConfirmedVersion()
	inst.memberTable.mu.Unlock()
	if changed {
		inst.events.Emit(events.MemberTableInForce, log.Fields{"version": version, "members": len(record.Tables[len(record.Tables)-1].Members)})
	}
}

// FetchTable returns the record of the region when it is newer than the version
// that the peer knows.
func (server *peerServer) FetchTable(_ context.Context, r *peerpb.FetchTableRequest) (*peerpb.FetchTableResponse, error) {
	server.instance.memberTable.mu.Lock()
	record := server.instance.memberTable.holder.Record()
	server.instance.memberTable.mu.Unlock()
	if record.NewestVersion() <= r.Since {
		return &peerpb.FetchTableResponse{}, nil
	}
	data, err := record.Encode()
	return &peerpb.FetchTableResponse{Record: data}, err
}

// fetchTableFrom fetches a newer record from a peer and reports whether the
// peer responded.
func (inst *Instance) fetchTableFrom(ctx context.Context, address string) bool {
	inst.memberTable.mu.Lock()
	since := inst.memberTable.holder.ConfirmedVersion()
	inst.memberTable.mu.Unlock()
	response, err := inst.peers.Client(ctx, address).FetchTable(ctx, &peerpb.FetchTableRequest{Since: since})
	if err == nil && len(response.Record) > 0 {
		inst.applyTableRecord(response.Record, 0)
	}
	return err == nil
}

func (inst *Instance) fetchTableFromDomain(ctx context.Context) bool {
	for _, m := range inst.members.view().Members {
		if m.Domain == inst.settings.Domain && m.Name != inst.settings.Name && m.Usable() && inst.fetchTableFrom(ctx, m.PeerAddress) {
			return true
		}
	}
	return false
}
