package scheduler

import "testing"

// The watch brings the raised token before the response to its write. The logged old token is that of the write.
func TestRaiseIsLoggedWithTokenOfItsSending(t *testing.T) {
	ctrl, s, _ := newControllerWithShard(t)
	ctrl.shards.raiseToken(s, raiseForUnanswered)
	write := ctrl.TakeOutputs().StoreOps[0]
	ctrl.cache.applyChange(KeyValue{Key: write.Changes[0].Key, Value: write.Changes[0].Value, Rev: 30})
	ctrl.TakeOutputs()
	ctrl.HandleStoreResult(ctrl.now, write.ID, StoreResult{Rev: 30})
	for _, line := range ctrl.TakeOutputs().Logs {
		if line.Message != "token raised" {
			continue
		}
		if line.Args[3] != uint64(30) || line.Args[5] != uint64(11) {
			t.Errorf("got %v, want token 30 and old 11", line.Args)
		}
		return
	}
	t.Error("the raise is not logged")
}
