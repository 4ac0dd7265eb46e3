package membertable

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/jacinthstall/jacinthstall/allotment"
	"github.com/jacinthstall/jacinthstall/slots"
)

// MaxTables is the maximum number of versions in a record.
const MaxTables = 16

// keyPrefix is the prefix of the store keys of member tables.
const keyPrefix = "members/"

// RecordKey returns the store key of a region's record.
func RecordKey(region string) string { return keyPrefix + region }

// Member is one incarnation of an instance.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Domain      string `json:"domain"`
}

// ID returns a string that identifies the incarnation among all members.
func (m Member) ID() string { return m.Name + "@" + strconv.FormatUint(m.Incarnation, 36) }

// Table is one version of the list of members of a region.
type Table struct {
	Version uint64   `json:"version"` // Consecutive, starting at 1.
	Members []Member `json:"members"` // Sorted by name.
	// FormerMembers lists removed members that may still use an earlier version.
	FormerMembers []Member `json:"former,omitempty"`
}

// Record is the value in the store: the latest versions, oldest first.
type Record struct {
	Tables []Table `json:"tables"`
}

// RecordError reports a record that must not be used.
type RecordError struct {
	Problem string
}

func (e *RecordError) Error() string { return "membertable: " + e.Problem }

// Decode parses and validates a record. It returns a *RecordError if the
// record is invalid.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, &RecordError{err.Error()}
	}
	if len(r.Tables) == 0 || len(r.Tables) > MaxTables {
		return Record{}, &RecordError{fmt.Sprintf("record has %d tables, must have 1 to %d", len(r.Tables), MaxTables)}
	}
	for i, t := range r.Tables {
		if t.Version == 0 || (i > 0 && t.Version != r.Tables[i-1].Version+1) {
			return Record{}, &RecordError{fmt.Sprintf("table version %d is out of order", t.Version)}
		}
		if err := t.validate(); err != nil {
			return Record{}, err
		}
	}
	return r, nil
}

// validate checks that every member has a unique name and a failure domain.
func (t Table) validate() error {
	seen := map[string]bool{}
	for _, m := range t.Members {
		if m.Name == "" || m.Domain == "" || seen[m.Name] {
			return &RecordError{fmt.Sprintf("table version %d: member %q has an empty name or domain, or is listed twice", t.Version, m.Name)}
		}
		seen[m.Name] = true
	}
	return nil
}

// Encode returns the record in its stored form.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// NewestVersion returns the version of the last table, 0 if there is none.
func (r Record) NewestVersion() uint64 {
	if len(r.Tables) == 0 {
		return 0
	}
	return r.Tables[len(r.Tables)-1].Version
}

func (r Record) newestTable() Table {
	if len(r.Tables) == 0 {
		return Table{}
	}
	return r.Tables[len(r.Tables)-1]
}

// withTable returns the record with one more table, without the oldest tables
// beyond MaxTables.
func (r Record) withTable(t Table) Record {
	tables := append(slices.Clone(r.Tables), t)
	if len(tables) > MaxTables {
		tables = tables[len(tables)-MaxTables:]
	}
	return Record{Tables: tables}
}

// next returns the table that follows t, with new members. The function
// finished reports whether a member that is not in the new table can no longer
// use an older one.
func (t Table) next(members []Member, finished func(Member) bool) Table {
	out := Table{Version: t.Version + 1, Members: members}
	for _, m := range append(slices.Clone(t.Members), t.FormerMembers...) {
		if !slices.Contains(members, m) && !finished(m) {
			out.FormerMembers = append(out.FormerMembers, m)
		}
	}
	return out
}

// FullShare is the cap that is divided between the members; a member's share
// is a part of it.
const FullShare = 1 << 30

// shareTable returns the division of FullShare into equal shares for the
// members.
func (t Table) shareTable() allotment.Table {
	out := allotment.Table{Version: t.Version, Cap: FullShare, Shares: map[string]int64{}}
	for _, m := range t.Members {
		out.Shares[m.ID()] = FullShare / int64(len(t.Members))
	}
	for _, m := range t.FormerMembers {
		out.FormerHolders = append(out.FormerHolders, m.ID())
	}
	return out
}

// homeInstance returns the home of a target under this table, and false if the
// table has no members.
func (t Table) homeInstance(target, domain string) (Member, bool) {
	members := make([]slots.Member, len(t.Members))
	for i, m := range t.Members {
		members[i] = slots.Member{Name: m.Name, Domain: m.Domain}
	}
	name := slots.HomeInstance(target, domain, members)
	i := slices.IndexFunc(t.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return t.Members[i], true
}
