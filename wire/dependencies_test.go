package wire

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// DecodeJob accepts a list of job IDs as a job's dependencies and removes duplicates. It rejects any
// other value.
func TestDecodeJobDependencies(t *testing.T) {
	const form = `{"nameId":"req-000009","lot":"c","crew":"a","shape":"array","rank":"low","pieces":1,"cores":1,"gpus":0,"ramGb":1,` +
		`"bundle":"i","pullGb":1,"oneZone":false,"spread":false,"loaners":false,"guessS":1,"markS":0,"stashS":0%s}`
	for _, testCase := range []struct {
		awaits string
		want   []string
		ok     bool
	}{
		{``, nil, true},
		{`,"awaits":null`, nil, true},
		{`,"awaits":[]`, nil, true},
		{`,"awaits":["req-000002","req-000001","req-000002"]`, []string{"req-000001", "req-000002"}, true},
		{`,"awaits":"req-000001"`, nil, false},
		{`,"awaits":["job-1"]`, nil, false},
		{`,"awaits":[7]`, nil, false},
		{`,"awaits":{"a":1}`, nil, false},
		{`,"awaits":[""]`, nil, false},
	} {
		job, err := DecodeJob([]byte(fmt.Sprintf(form, testCase.awaits)))
		if (err == nil) != testCase.ok {
			t.Errorf("job with %q: got error %v, want one exactly if the dependencies are invalid", testCase.awaits, err)
			continue
		}
		if err == nil && !slices.Equal(job.DependsOn, testCase.want) {
			t.Errorf("job with %q: got dependencies %v, want those of the test case", testCase.awaits, job.DependsOn)
		}
	}
	longList := `,"awaits":["` + strings.Repeat(`req-000001","`, 3000) + `req-000002"]`
	if job, err := DecodeJob([]byte(fmt.Sprintf(form, longList))); err != nil || len(job.DependsOn) != 2 {
		t.Errorf("job with 3001 dependencies on 2 different jobs: got error %v or another number of dependencies, want 2", err)
	}
}
