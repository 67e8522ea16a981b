package convert

import (
	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/coordination/claim"
	"github.com/jujubearch/jujubearch/internal/protocol/peerpb"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// MaxRequestIDBytes bounds the length of a request id in a claim message.
const MaxRequestIDBytes = 128

// ClaimRequestToProto converts a request for a claim.
func ClaimRequestToProto(shard model.ShardID, r claim.Request) *peerpb.ClaimRequest {
	return &peerpb.ClaimRequest{
		KeyHash: r.Key[:], Fingerprint: r.Fingerprint[:], RequestId: r.RequestID, Shard: uint32(shard),
	}
}

// ClaimRequestFromProto converts a request for a claim. The error names the invalid field.
func ClaimRequestFromProto(m *peerpb.ClaimRequest) (claim.Request, error) {
	key, err := parseKeyHash("key_hash", m.GetKeyHash())
	if err != nil {
		return claim.Request{}, err
	}
	fingerprint, err := parseKeyHash("fingerprint", m.GetFingerprint())
	if err != nil {
		return claim.Request{}, err
	}
	if m.GetRequestId() == "" || len(m.GetRequestId()) > MaxRequestIDBytes {
		return claim.Request{}, errors.Errorf("request_id must have 1 to %d bytes", MaxRequestIDBytes)
	}
	return claim.Request{Key: key, Fingerprint: fingerprint, RequestID: m.GetRequestId()}, nil
}

func parseKeyHash(field string, bytes []byte) (model.KeyHash, error) {
	var hash model.KeyHash
	if len(bytes) != len(hash) {
		return hash, errors.Errorf("%s has %d bytes, want %d", field, len(bytes), len(hash))
	}
	copy(hash[:], bytes)
	return hash, nil
}

// ClaimResponseToProto converts the decision on a request for a claim.
func ClaimResponseToProto(d claim.Decision) *peerpb.ClaimResponse {
	return &peerpb.ClaimResponse{Outcome: peerpb.ClaimOutcome(d.Outcome), Answer: StoredResponseToProto(d.Response)}
}

// ClaimResponseFromProto converts the decision on a request for a claim.
func ClaimResponseFromProto(m *peerpb.ClaimResponse) (claim.Decision, error) {
	outcome := claim.Outcome(m.GetOutcome())
	if outcome < claim.Granted || outcome > claim.Mismatch {
		return claim.Decision{}, errors.Errorf("unknown claim outcome %d", m.GetOutcome())
	}
	return claim.Decision{Outcome: outcome, Response: StoredResponseFromProto(m.GetAnswer())}, nil
}

// StoredResponseToProto converts a response that is kept for replay; nil stays nil.
func StoredResponseToProto(a *claim.StoredResponse) *peerpb.KeptAnswer {
	if a == nil {
		return nil
	}
	message := &peerpb.KeptAnswer{Status: uint32(a.Status), Body: a.Body}
	for _, h := range a.Headers {
		message.Headers = append(message.Headers, &peerpb.Header{Name: h.Name, Value: h.Value})
	}
	return message
}

// StoredResponseFromProto converts a response that is kept for replay; nil stays nil.
func StoredResponseFromProto(m *peerpb.KeptAnswer) *claim.StoredResponse {
	if m == nil {
		return nil
	}
	response := &claim.StoredResponse{Status: int(m.GetStatus()), Body: m.GetBody()}
	for _, h := range m.GetHeaders() {
		response.Headers = append(response.Headers, claim.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return response
}
