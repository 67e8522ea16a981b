package model

import (
	"fmt"
	"strings"
)

// Keys and prefixes of the store.
const (
	KeyHead        = "head"
	PrefixPlan     = "plan/"
	PrefixAudit    = "audit/"
	PrefixShard    = "shard/"
	suffixOwner    = "/owner"
	suffixSnapshot = "/snapshot"
	infixLog       = "/log/"
)

// KeyKind is the kind of record that a key holds.
type KeyKind uint8

// Kinds of keys.
const (
	KeyKindUnknown KeyKind = iota
	KeyKindHead
	KeyKindPlan
	KeyKindAudit
	KeyKindOwner
	KeyKindSnapshot
	KeyKindLog
	KeyKindSession
)

// KindOfKey returns the kind of record that the key holds.
func KindOfKey(key string) KeyKind {
	switch {
	case key == KeyHead:
		return KeyKindHead
	case strings.HasPrefix(key, PrefixPlan):
		return KeyKindPlan
	case strings.HasPrefix(key, PrefixAudit):
		return KeyKindAudit
	case strings.HasPrefix(key, PrefixSession):
		return KeyKindSession
	case !strings.HasPrefix(key, PrefixShard):
		return KeyKindUnknown
	case strings.HasSuffix(key, suffixOwner):
		return KeyKindOwner
	case strings.HasSuffix(key, suffixSnapshot):
		return KeyKindSnapshot
	case strings.Contains(key, infixLog):
		return KeyKindLog
	}
	return KeyKindUnknown
}

// PlanKey returns the key of a plan.
func PlanKey(id PlanID) string { return PrefixPlan + string(id) }

// AuditKey returns the key of the audit segment whose first entry has the given sequence number.
func AuditKey(first uint64) string { return fmt.Sprintf("%s%012d", PrefixAudit, first) }

// ShardPrefix returns the prefix of all records of a shard.
func ShardPrefix(id ShardID) string { return fmt.Sprintf("%s%05d", PrefixShard, id) }

// OwnerKey returns the key of a shard's ownership record.
func OwnerKey(id ShardID) string { return ShardPrefix(id) + suffixOwner }

// SnapshotKey returns the key of a shard's snapshot.
func SnapshotKey(id ShardID) string { return ShardPrefix(id) + suffixSnapshot }

// LogKey returns the key of a shard's log slot.
func LogKey(id ShardID, slot int) string {
	return fmt.Sprintf("%s%s%02d", ShardPrefix(id), infixLog, slot)
}

// PrefixSession is the prefix of the entries' session records, which the store deletes when their leases end.
const PrefixSession = "session/"

// SessionKey returns the key of an entry's session.
func SessionKey(id EntryID) string { return PrefixSession + string(id) }
