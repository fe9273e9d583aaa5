package records

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// NewEndedRecord returns the record of a job that ends now in the given state, from the job's record
// before its end.
func NewEndedRecord(record *Job, state string, now clock.Micros) *Job {
	end := &Job{SubmittedAt: record.SubmittedAt, State: state, EndedAt: int64(now)}
	if state == wire.JobCancelled {
		// A later leader has to know the resources of the tasks that may still run.
		end.Spec = record.Spec
	}
	end.TasksPerKey = record.TasksPerKey
	if record.Spec != nil {
		end.Class = record.Spec.Class
		end.Tasks = record.Spec.TaskCount
		if record.Spec.DeadlineSeconds > 0 {
			end.DeadlineAt = record.SubmittedAt + int64(clock.FromSeconds(record.Spec.DeadlineSeconds))
		}
	}
	return end
}

// endedOmissions are what the record of an ended job can do without, in the order in which EncodeEnded leaves it out. A
// leader that finds the submission of a cancelled job needs it only for what the job's tasks may still occupy. The
// class is for reports.
var endedOmissions = []func(record *Job){
	omitFromSpec(func(spec *wire.Job) { spec.DependsOn = nil }),
	omitFromSpec(func(spec *wire.Job) { spec.MachineTypes = nil }),
	omitFromSpec(func(spec *wire.Job) { spec.Image = "" }),
	omitFromSpec(func(spec *wire.Job) { spec.Class = "" }),
	func(record *Job) { record.Class = "" },
}

// omitFromSpec returns an omission that replaces the submission by a changed copy, if the record has one.
func omitFromSpec(omit func(spec *wire.Job)) func(record *Job) {
	return func(record *Job) {
		if record.Spec != nil {
			spec := *record.Spec
			omit(&spec)
			record.Spec = &spec
		}
	}
}

// EncodeEnded encodes the record of an ended job. It has more fields than the record of the submission, and the limit may
// have been lowered since that was written. So if the value would exceed the limit, EncodeEnded leaves out endedOmissions
// until it fits. It doesn't change record. A value that exceeds the limit even so is returned all the same: the limit may
// not be in force yet.
func EncodeEnded(record *Job, limits Limits) ([]byte, error) {
	value, err := record.MarshalJSON()
	shortened := *record
	for _, omit := range endedOmissions {
		if err != nil || len(value) <= limits.MaxValueBytes() {
			break
		}
		omit(&shortened)
		value, err = shortened.MarshalJSON()
	}
	return value, err
}

// fitsOnceEnded reports whether the record of an active job will fit into a value once the job has been cancelled, which
// needs the most room.
func (record *Job) fitsOnceEnded(limits Limits) bool {
	value, err := EncodeEnded(NewEndedRecord(record, wire.JobCancelled, latestWallTime), limits)
	return err == nil && len(value) <= limits.MaxValueBytes()
}

// latestWallTime has as many digits as any time of this millennium, in microseconds since the Unix epoch.
const latestWallTime clock.Micros = 32503680000 * clock.Second
