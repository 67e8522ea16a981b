package record

import (
	"bytes"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/jujubearch/jujubearch/internal/protocol/journalpb"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// journalMagic is the prefix of records in protobuf. It distinguishes them from JSON records, which begin with a brace.
var journalMagic = []byte("jb1")

// maxRecordTasks bounds the tasks of one record. The size of a record does not bound them, since one message can stand
// for a range of tasks.
const maxRecordTasks = 1 << 20

// encodeJournal encodes a journal record in protobuf. Journal records are written continuously, and in JSON they take
// several times as many bytes. It reports false for other types of records.
func encodeJournal(key string, value any) ([]byte, bool, error) {
	enc := &journalEncoder{}
	var message proto.Message
	switch v := value.(type) {
	case *model.JournalEntry:
		message = enc.entry(v)
	case *model.JournalSnapshot:
		message = enc.snapshot(v)
	default:
		return nil, false, nil
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(bytes.Clone(journalMagic), message)
	return encoded, true, errors.Annotatef(err, "record %q", key)
}

// decodeJournal decodes a record that encodeJournal encoded. It reports false for records that are not in protobuf.
func decodeJournal(key string, encoded []byte) (any, bool, error) {
	body, found := bytes.CutPrefix(encoded, journalMagic)
	if !found {
		return nil, false, nil
	}
	var value any
	var err error
	switch model.KindOfKey(key) {
	case model.KeyKindLog:
		value, err = decodeEntry(body)
	case model.KeyKindSnapshot:
		value, err = decodeSnapshot(body)
	default:
		err = errors.New("a journal record does not belong to this key")
	}
	if err != nil {
		return nil, true, errors.Annotatef(err, "record %q", key)
	}
	return value, true, nil
}

func decodeEntry(body []byte) (*model.JournalEntry, error) {
	m := &journalpb.JournalEntry{}
	if err := unmarshal(body, m); err != nil {
		return nil, errors.Trace(err)
	}
	dec := &journalDecoder{names: m.GetNames()}
	entry := dec.entry(m)
	return entry, errors.Trace(dec.err)
}

func decodeSnapshot(body []byte) (*model.JournalSnapshot, error) {
	m := &journalpb.JournalSnapshot{}
	if err := unmarshal(body, m); err != nil {
		return nil, errors.Trace(err)
	}
	dec := &journalDecoder{names: m.GetNames()}
	snapshot := dec.snapshot(m)
	return snapshot, errors.Trace(dec.err)
}

func unmarshal(body []byte, into proto.Message) error {
	if err := proto.Unmarshal(body, into); err != nil {
		return errors.Trace(err)
	}
	if hasUnknownFields(into.ProtoReflect()) {
		return errors.New("the message has an unknown field")
	}
	return nil
}

func hasUnknownFields(m protoreflect.Message) bool {
	found := len(m.GetUnknown()) > 0
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.Message() == nil:
		case field.IsList():
			for i := range value.List().Len() {
				found = found || hasUnknownFields(value.List().Get(i).Message())
			}
		default:
			found = found || hasUnknownFields(value.Message())
		}
		return !found
	})
	return found
}
