package scheduler

import "testing"

// Operators read the counters as a flat JSON object with these names in this order.
func TestCountersKeepTheirForm(t *testing.T) {
	want := `{"starts":0,"lost":0,"errors":0,"claims":0,"rented":0,"returned":0,"moved":0,"replans":0,` +
		`"accepted":0,"finished":0,"preempted":0,"refused":0,"relayed":0,"read_batches":0,"shed":0,` +
		`"adopted":0,"strays":0,"ceded":0,"in_doubt":0,"old_report":0,"confirmed":0,"unheard":0,` +
		`"direct_executed":0,"direct_refused":0,"direct_unknown":0,"cleared":0,"cleared_stray":0,` +
		`"raised_unanswered":0,"raised_ids":0,"raised_clears":0,"started_by_copy":0,"over_allocation":0,` +
		`"late_responses":0}`
	if got := string(mustEncode(Counters{})); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}
