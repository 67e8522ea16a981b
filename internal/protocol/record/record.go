// Package record encodes and decodes the records that jujubearch keeps in the store.
//
// Decode accepts only records of a known schema without unknown fields, and Encode never returns a record above
// MaxBytes. Most records are JSON envelopes with a schema number, so that operators can read them with any tool. Log
// entries and snapshots of shards are in protobuf because of their number and size.
package record

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

const (
	// MaxBytes is the greatest size of an encoded record. The store accepts values of up to 1 MB.
	MaxBytes = 900 << 10
	// schemaVersion is the version of the envelope and of the JSON records in it.
	schemaVersion = 1
)

// ErrTooLarge is the cause of an Encode error when the record exceeds MaxBytes.
const ErrTooLarge = errors.ConstError("record is too large")

// envelope is the stored form of a JSON record.
type envelope struct {
	Schema int             `json:"schema"`
	Kind   model.KeyKind   `json:"kind"`
	Body   json.RawMessage `json:"body"`
}

// Encode returns the stored form of a record. The value must be a pointer to the record type of the key.
func Encode(key string, value any) ([]byte, error) {
	encoded, isJournal, err := encodeJournal(key, value)
	if !isJournal {
		encoded, err = encodeEnvelope(key, value)
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(encoded) > MaxBytes {
		return nil, errors.Annotatef(ErrTooLarge, "record %q has %d bytes", key, len(encoded))
	}
	return encoded, nil
}

func encodeEnvelope(key string, value any) ([]byte, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Annotatef(err, "record %q", key)
	}
	encoded, err := json.Marshal(envelope{Schema: schemaVersion, Kind: model.KindOfKey(key), Body: body})
	if err != nil {
		return nil, errors.Annotatef(err, "record %q", key)
	}
	return encoded, nil
}

// Decode parses the stored form of the record of a key. It returns a pointer to the record type of the key. The error
// names the key.
func Decode(key string, encoded []byte) (any, error) {
	if value, isJournal, err := decodeJournal(key, encoded); isJournal {
		return value, err
	}
	var env envelope
	if err := unmarshalStrict(encoded, &env); err != nil {
		return nil, errors.Annotatef(err, "record %q", key)
	}
	if env.Schema != schemaVersion {
		return nil, errors.Errorf("record %q: unknown schema %d", key, env.Schema)
	}
	if env.Kind != model.KindOfKey(key) {
		return nil, errors.Errorf("record %q: kind %d does not belong to the key", key, env.Kind)
	}
	value := newRecord(env.Kind)
	if value == nil {
		return nil, errors.Errorf("record %q: the key has no record type", key)
	}
	if err := unmarshalStrict(env.Body, value); err != nil {
		return nil, errors.Annotatef(err, "record %q: body", key)
	}
	return value, nil
}

func newRecord(kind model.KeyKind) any {
	switch kind {
	case model.KeyKindHead:
		return &model.Head{}
	case model.KeyKindPlan:
		return &model.Plan{}
	case model.KeyKindAudit:
		return &model.AuditSegment{}
	case model.KeyKindOwner:
		return &model.ShardOwner{}
	case model.KeyKindSnapshot:
		return &model.JournalSnapshot{}
	case model.KeyKindLog:
		return &model.JournalEntry{}
	case model.KeyKindSession:
		return &model.Session{}
	case model.KeyKindUnknown:
	}
	return nil
}

func unmarshalStrict(encoded []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.Trace(err)
	}
	if decoder.More() {
		return errors.New("data after the end of the JSON value")
	}
	return nil
}
