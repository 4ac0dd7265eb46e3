package capacity

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/jacinthstall/jacinthstall/membertable"
	"github.com/jacinthstall/jacinthstall/once"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/quarantine"
)

const (
	// dailyTableChangesPerMember is the number of member table versions per day and
	// member. A restart makes two: one removes the leaving incarnation, one adds the new.
	dailyTableChangesPerMember = 2 * (17 + 740) / float64(designInstances)
	// onceBodyBytes is the size of each recorded response body.
	onceBodyBytes = 512
)

// regionSizes are numbers of members in a region. The largest is that of 8,000
// instances in 17 regions.
var regionSizes = []int{50, 200, 470}

// holderWithMaxTables returns a holder with MaxTables versions, each of which
// replaced a member by a new incarnation, and the members of the last version.
func holderWithMaxTables(members int) (*membertable.Holder, []membertable.ObservedMember) {
	view := make([]membertable.ObservedMember, members)
	for i := range view {
		u := memberUpdate(i)
		view[i].Member = membertable.Member{Name: u.Name, Incarnation: u.Incarnation, Domain: u.Domain}
	}
	holder := membertable.NewHolder(view[0].Member)
	for version := range uint64(membertable.MaxTables) {
		if version > 0 {
			view[version%uint64(members-1)+1].Incarnation += 1_000_000_000
		}
		confirmNextVersion(holder, view)
	}
	return holder, view
}

// confirmNextVersion proposes and applies the next version for a view, with the
// confirmation of all members.
func confirmNextVersion(holder *membertable.Holder, view []membertable.ObservedMember) {
	if r, changed := holder.Propose(view); changed {
		holder.ApplyRecord(r)
	}
	for i := range view {
		view[i].ConfirmedVersion = holder.ConfirmedVersion()
		holder.SetConfirmed(view[i].Member, holder.ConfirmedVersion())
	}
}

// MeasureMemberTable measures the member table of a region: the state of a holder,
// the size of the record that is fetched for each change, and the time to decode
// and apply it.
func MeasureMemberTable() ([]Row, error) {
	const timedVersions = 5
	var rows []Row
	for _, size := range regionSizes {
		var view []membertable.ObservedMember
		holder, bytes := stateBytes(func() *membertable.Holder {
			var holder *membertable.Holder
			holder, view = holderWithMaxTables(size)
			return holder
		})
		peer := membertable.NewHolder(view[1].Member)
		peer.ApplyRecord(holder.Record())
		var total time.Duration
		var encoded []byte
		for i := range timedVersions {
			view[2+i].Incarnation += 1_000_000_000
			confirmNextVersion(holder, view)
			var err error
			if encoded, err = holder.Record().Encode(); err != nil {
				return nil, err
			}
			start := time.Now()
			record, err := membertable.Decode(encoded)
			if err != nil {
				return nil, err
			}
			peer.ApplyRecord(record)
			total += time.Since(start)
		}
		perDay := dailyTableChangesPerMember * float64(size)
		perVersion := total / timedVersions
		rows = append(rows, Row{Role: "member table", Size: size, SizeUnit: "members", StateBytes: bytes,
			MessagesPerSecond: perDay / secondsPerDay, BytesPerSecond: perDay / secondsPerDay * float64(len(encoded)),
			CPUPerSecond: time.Duration(float64(perVersion) * perDay / secondsPerDay),
			Note:         fmt.Sprintf("record %d B, decode and learn %s, %.1f proposals a day", len(encoded), perVersion.Round(time.Microsecond), perDay)})
	}
	return rows, nil
}

// MeasureOnceRecords measures a registry of at-most-once records up to once.MaxRecords.
func MeasureOnceRecords() ([]Row, error) {
	var rows []Row
	for _, size := range []int{4_096, 16_384, once.MaxRecords} {
		now := time.Unix(1_700_000_000, 0)
		var buildErr error
		var perRequest time.Duration
		_, bytes := stateBytes(func() *once.Registry {
			registry, err := once.New(once.Issuer{Instance: memberUpdate(0).Name, Incarnation: memberUpdate(0).Incarnation}, now)
			if err != nil {
				buildErr = err
				return nil
			}
			perRequest = meanCallTime(size, func(i int) { recordRequest(registry, now, i) })
			return registry
		})
		if buildErr != nil {
			return nil, buildErr
		}
		rows = append(rows, Row{Role: "once records", Size: size, SizeUnit: "records", StateBytes: bytes, CPUPerSecond: perRequest,
			Note: fmt.Sprintf("bodies of %d B; 1 request/s", onceBodyBytes)})
	}
	return rows, nil
}

// recordRequest adds a completed request to the registry.
func recordRequest(registry *once.Registry, now time.Time, i int) {
	prefix, _ := registry.Prefix(now)
	key := once.Key{Prefix: prefix, Suffix: fmt.Sprintf("order-%08d", i)}
	decision := registry.Begin(now, key, once.Fingerprint{byte(i), byte(i >> 8), byte(i >> 16)})
	if decision.Ticket != nil {
		decision.Ticket.Finish(once.Result{Executed: outcome.Yes, Status: 200, ContentType: "application/json", Body: make([]byte, onceBodyBytes)})
	}
}

// MeasureQuarantine measures the memory of a guard's proven fingerprints up to its
// limit, and the processor time for a request.
func MeasureQuarantine() ([]Row, error) {
	targets := make([]quarantine.Target, 24)
	for i := range targets {
		targets[i] = quarantine.Target{Name: fmt.Sprintf("catalogue-0-%04d", i), Domain: memberUpdate(i % 2).Domain}
	}
	var rows []Row
	for _, size := range []int{2_048, 8_192, 32_768} {
		now := time.Unix(1_700_000_000, 0)
		var perRequest time.Duration
		_, bytes := stateBytes(func() *quarantine.Guard {
			guard := quarantine.New()
			perRequest = meanCallTime(size, func(i int) { proveFingerprint(guard, now, i, targets) })
			return guard
		})
		rows = append(rows, Row{Role: "quarantine", Size: size, SizeUnit: "proven", StateBytes: bytes, CPUPerSecond: perRequest,
			Note: "1 request/s: check, start, success"})
	}
	return rows, nil
}

// proveFingerprint runs the i-th request, which succeeds at the first allowed target
// and so proves its fingerprint.
func proveFingerprint(guard *quarantine.Guard, now time.Time, i int, targets []quarantine.Target) {
	var fingerprint quarantine.Fingerprint
	binary.BigEndian.PutUint64(fingerprint[:], uint64(i)*0x9e3779b97f4a7c15)
	decision := guard.Check(now, fingerprint, targets)
	for _, t := range targets {
		if !decision.Allows(t.Name) {
			continue
		}
		if started := guard.StartAttempt(now, fingerprint, "catalogue-0", t.Name, targets); started != nil {
			guard.RecordSuccess(now, started)
		}
		return
	}
}
