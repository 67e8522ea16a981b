package claim

import (
	"sync"
	"testing"

	"github.com/jujubearch/jujubearch/internal/coordination/claim"
)

// Guards against a request that settles its claim while the daemon closes: the settlement must neither race with the
// wait for the others nor use the control actor after it was stopped.
func TestSettleAfterAbortDoesNothing(t *testing.T) {
	s := NewService(nil, nil)
	s.Abort()
	var handlers sync.WaitGroup
	for range 8 {
		handlers.Go(func() { s.Settle(claim.Request{}, true, nil) })
	}
	s.Abort()
	handlers.Wait()
}
