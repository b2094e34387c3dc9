package scheduler_test

// requestMeetings are the meetings about what users ask: answers, cancellations and
// limits, while controllers change (docs/notes/meetings.md).
var requestMeetings = map[string]meeting{}
