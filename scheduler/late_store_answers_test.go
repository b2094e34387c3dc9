package scheduler_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/scheduler"
)

// These tests cover late answers of the state service. Users submit, repeat the submission, poll and cancel at all
// members at once, and requests overlap. After a response that a job is accepted, done or cancelled, no member may send
// an older one (review/8).

// lateAnswerSeeds is the number of seeds of each scenario. A run by hand can play more.
var lateAnswerSeeds = flag.Uint64("late-answer-seeds", 24, "number of seeds with late answers of the state service")

// Times of the scenario in milliseconds, and numbers of requests.
const (
	lateByMS           = 400 // delay of a late answer
	lateAnswersUntilMS = 60_000
	contestedJobs      = 24
	contestIntervalMS  = 45
	contestRequests    = 30
)

// inFlightMS is how old a response may be because of the usual latency: a response may need two reads, and the
// emulator's network takes at most 12 ms for each of their messages.
var inFlightMS = access.RequestTimeout.Milliseconds() / 40

// jobKnowledge is the state of a job that a response reports. Higher values are newer.
type jobKnowledge int

const (
	reportsUnknown jobKnowledge = iota
	reportsAccepted
	reportsEnded
	reportsNothing
)

func knowledgeIn(response *scheduler.UserResponse) jobKnowledge {
	switch response.Status {
	case 200, 201:
		if response.State.IsTerminal() {
			return reportsEnded
		}
		return reportsAccepted
	case 400, 404, 422:
		return reportsUnknown
	}
	return reportsNothing
}

// responseOrder checks the responses of all members in the order in which they are sent.
type responseOrder struct {
	sim       *testSimulation
	firstSent map[string]map[jobKnowledge]int64 // keyed by job ID
	responses map[jobKnowledge]int
	older     []string // responses that were older than an earlier one
}

func (order *responseOrder) observe(response *scheduler.UserResponse) {
	now, reported := order.sim.Now, knowledgeIn(response)
	order.responses[reported]++
	if reported == reportsNothing {
		return
	}
	sentAt := order.firstSent[response.ID]
	if sentAt == nil {
		sentAt = map[jobKnowledge]int64{}
		order.firstSent[response.ID] = sentAt
	}
	for newer := reported + 1; newer <= reportsEnded; newer++ {
		if at, ok := sentAt[newer]; ok && now-at > inFlightMS {
			order.older = append(order.older, fmt.Sprintf("%s at %d ms: status %d %s, %d ms after a newer response",
				response.ID, now, response.Status, response.State, now-at))
		}
	}
	if _, ok := sentAt[reported]; !ok {
		sentAt[reported] = now
	}
}

// lateAnswerScenario is the share of messages of the state service that are late, by recipient.
type lateAnswerScenario struct {
	share    float64
	member   string // only answers to this member are late; empty: to all
	refuseMS int64  // the state service refuses this member now and then, for this time
	isolated bool   // this member is partitioned from its peers
}

var lateAnswerScenarios = map[string]lateAnswerScenario{
	"few answers":            {share: 0.05},
	"many answers":           {share: 0.3},
	"all answers to one":     {share: 1, member: "m0"},
	"one member is refused":  {share: 0.1, member: "m1", refuseMS: 3000},
	"all to isolated member": {share: 1, member: "m0", isolated: true},
	"half of the answers":    {share: 0.5},
	"most answers to member": {share: 0.8, member: "m2"},
}

// contestJob submits a job at a member, and makes users poll it, repeat its submission and cancel it at random
// members while it is accepted and while it ends.
func (sim *testSimulation) contestJob(n int) {
	j := newRelayTestJob(fmt.Sprintf("job-8%05d", n), 1+n%2, 1, 2)
	sim.Jobs[j.Spec.ID] = j
	sim.JobIDs = append(sim.JobIDs, j.Spec.ID)
	submission := scheduler.UserRequest{Kind: scheduler.SubmitJob, ID: j.Spec.ID, Job: &j.Spec}
	malformed := scheduler.UserRequest{Kind: scheduler.SubmitJob, ID: j.Spec.ID, Malformed: "no team"}
	poll := scheduler.UserRequest{Kind: scheduler.QueryJob, ID: j.Spec.ID}
	send := func(request scheduler.UserRequest) {
		sim.sendAndReceive(sim.randomMember(), j, request, func(scheduler.UserResponse) {})
	}
	sendMalformed := func() {
		sim.SendRequestTo(sim.randomMember(), malformed, func(scheduler.UserResponse, bool) {})
	}
	send(submission)
	cancelAt := sim.Rand.IntN(3 * contestRequests) // two of three jobs are not cancelled
	for i := range contestRequests {
		sim.After(int64(i)*contestIntervalMS+sim.Rand.Int64N(contestIntervalMS), func() {
			send(poll)
			switch sim.Rand.IntN(8) {
			case 0, 1:
				send(submission)
			case 2:
				sendMalformed()
			}
			if i == cancelAt {
				sim.CancelJob(j)
			}
		})
	}
	sim.Poll(j)
	for i := range 2 * contestRequests { // the job ends meanwhile
		sim.After(int64(contestRequests+3*i)*contestIntervalMS, func() { send(poll) })
	}
}

// playLateAnswers plays a scenario with a seed. It returns the responses, and counts the answers that are late.
func playLateAnswers(t *testing.T, scenario lateAnswerScenario, seed uint64) (order *responseOrder, lateAnswers int) {
	t.Helper()
	order = &responseOrder{firstSent: map[string]map[jobKnowledge]int64{}, responses: map[jobKnowledge]int{}}
	fault := emulator.InjectedFault{UserResponse: order.observe}
	sim := newTestSimulation(9100+seed, fault, smallScale)
	order.sim = sim
	sim.noRandomFaults, sim.MessageLoss = true, 0
	sim.ExtraDelay = func(from, to string) int64 {
		isLate := from == "store" && (scenario.member == "" || to == scenario.member) &&
			sim.Now > 10_000 && sim.Now < lateAnswersUntilMS && sim.Rand.Float64() < scenario.share
		if !isLate {
			return 0
		}
		lateAnswers++
		return lateByMS
	}
	if scenario.isolated {
		sim.After(10_000, func() {
			peers := emulator.Partition{A: scenario.member, B: "m", Until: lateAnswersUntilMS, DropsMessages: true}
			sim.partition(peers)
		})
	}
	if scenario.refuseMS > 0 {
		for at := int64(15_000); at < lateAnswersUntilMS; at += 3 * scenario.refuseMS {
			sim.After(at, func() { sim.StartOutage(scenario.member, scenario.refuseMS) })
		}
	}
	for n := range contestedJobs {
		sim.After(12_000+sim.Rand.Int64N(lateAnswersUntilMS-16_000), func() { sim.contestJob(n) })
	}
	sim.runScenario(lateAnswersUntilMS, 240_000, 6)
	sim.checkInvariants(t)
	sim.checkServed(t)
	return order, lateAnswers
}

// No member responds with an older state of a job than an earlier response of any member, although answers of the
// state service to reads and writes are late.
func TestLateStoreAnswersGiveNoOlderResponse(t *testing.T) {
	for name, scenario := range lateAnswerScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			responses, lateAnswers := map[jobKnowledge]int{}, 0
			for seed := range *lateAnswerSeeds {
				order, late := playLateAnswers(t, scenario, seed)
				lateAnswers += late
				for reported, count := range order.responses {
					responses[reported] += count
				}
				if len(order.older) > 0 {
					t.Errorf("seed %d: %d responses older than earlier ones, the first: %s",
						seed, len(order.older), order.older[0])
				}
			}
			unknown, accepted, ended := responses[reportsUnknown], responses[reportsAccepted], responses[reportsEnded]
			t.Logf("%d late answers; responses: %d unknown, %d accepted, %d ended, %d unavailable",
				lateAnswers, unknown, accepted, ended, responses[reportsNothing])
			if lateAnswers == 0 || unknown == 0 || accepted == 0 || ended == 0 {
				t.Errorf("%d late answers and responses %v, want some of each kind", lateAnswers, responses)
			}
		})
	}
}
