package scheduler

import "errors"

// Reasons to reject a submission. The texts are returned to users.
var (
	errUnknownTeam         = errors.New("unknown team")
	errExceedsTeamLimit    = errors.New("needs more than the team's limit")
	errFitsNoMachineType   = errors.New("a task fits no allowed machine type")
	errGangTooLarge        = errors.New("more tasks than can start together")
	errMachineTypesUnknown = errors.New("machine types not known yet") // no decision is possible yet
	errRecordTooLarge      = errors.New("the job's names are too long")
)

// checkRunnable returns the reason why a job can never run, or nil if it can run. It returns
// errMachineTypesUnknown if that cannot be decided yet. The tasks of one range start together, so a gang
// must fit into one.
func (rh *requestHandler) checkRunnable(j *Job) error {
	team, known := rh.params.Teams[j.Team]
	if !known {
		return errUnknownTeam
	}
	concurrentTasks := 1.0
	if j.Kind != Array {
		concurrentTasks = float64(j.Tasks)
	}
	exceedsCPUs := team.MaxCPUs > 0 && concurrentTasks*j.Request.CPUs > team.MaxCPUs
	exceedsGPUs := team.MaxGPUs > 0 && concurrentTasks*j.Request.GPUs > team.MaxGPUs
	if exceedsCPUs || exceedsGPUs {
		return errExceedsTeamLimit
	}
	if j.Kind == Gang && j.Tasks > rh.maxRangeTasks() {
		return errGangTooLarge
	}
	if len(rh.cache.machineTypes) == 0 {
		return errMachineTypesUnknown
	}
	for _, machineType := range rh.cache.machineTypes {
		if rh.cache.fitsType(j, machineType) {
			return nil
		}
	}
	return errFitsNoMachineType
}

// checkRecordSize returns errRecordTooLarge for a job whose record always exceeds the
// maximum value size of the state service, so that retries cannot succeed.
func (rh *requestHandler) checkRecordSize(j *Job) error {
	smallest := jobRecord{
		Job:          *j,
		AcceptedAtMS: rh.now.WallMS,
		Ranges:       []Range{{0, j.Tasks, rh.params.MemberID, false}},
	}
	if len(mustEncode(smallest)) > rh.params.MaxValueBytes {
		return errRecordTooLarge
	}
	return nil
}

// validateSubmission returns the response to a submission that cannot be accepted, or nil
// for a valid submission.
func (rh *requestHandler) validateSubmission(request *UserRequest) *UserResponse {
	if request.Job == nil {
		return &UserResponse{Status: 400, ID: request.ID, Error: request.Malformed}
	}
	err := rh.checkRunnable(request.Job)
	if errors.Is(err, errMachineTypesUnknown) {
		response := unavailableResponse(request.ID, err.Error())
		return &response
	}
	if err != nil {
		return &UserResponse{Status: 422, ID: request.ID, Error: err.Error()}
	}
	if err := rh.checkRecordSize(request.Job); err != nil {
		return &UserResponse{Status: 400, ID: request.ID, Error: err.Error()}
	}
	return nil
}
