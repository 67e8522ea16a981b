package controller

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// Guards against logging each failed read of the VM list, one a second, instead of only the first one.
func TestVMListFailureAndRecoveryAreLoggedOnce(t *testing.T) {
	c := New(Settings{Entry: "e", DataCentre: "dc", Seats: 1}, rand.New(rand.NewPCG(1, 1)))
	now := time.UnixMilli(1_800_000_000_000)
	var codes []notice.Code
	for _, err := range []error{errors.New("no answer"), errors.New("no answer"), errors.New("no answer"), nil, nil} {
		now = now.Add(time.Second)
		for _, a := range c.Step(now, VMsListed{Err: err}) {
			if n, ok := a.(Notify); ok && (n.Code == notice.VMListFailing || n.Code == notice.VMListRecovered) {
				codes = append(codes, n.Code)
			}
		}
	}
	assert.DeepEqual(t, codes, []notice.Code{notice.VMListFailing, notice.VMListRecovered})
}
