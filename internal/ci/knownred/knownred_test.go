package knownred

import (
	"errors"
	"io"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	const good = "a/b.TestX | the lock is lost | 16"
	for _, testCase := range []struct {
		name, text string
		entries    int
		err        error
	}{
		{"empty", "\n# nothing\n", 0, nil},
		{"one", good + "\n", 1, nil},
		{"three", good + "\na.B|c|1\na.C|c|1\n", 3, nil},
		{"four", good + "\na.B|c|1\na.C|c|1\na.D|c|1\n", 0, ErrTooManyEntries},
		{"no issue", "a.B | cause", 0, ErrMalformed},
		{"empty cause", "a.B | | 16", 0, ErrMalformed},
		{"twice", good + "\n" + good, 0, ErrMalformed},
		{"a script", "script review/1/run.sh | tasks run twice, 5 of 5 | 39", 1, nil},
		{"a script with arguments", "script review/1/run.sh --seed 7 | tasks run twice | 39", 1, nil},
		{"a script without an issue", "script review/1/run.sh | tasks run twice", 0, ErrMalformed},
		{"a script without a path", "script | tasks run twice | 39", 0, ErrMalformed},
		{"neither a test nor a script", "review/1/run.sh 7 | tasks run twice | 39", 0, ErrMalformed},
		{"tests and scripts together", good + "\nscript a.sh|c|1\na.C|c|1\nscript b.sh|c|1\n", 0, ErrTooManyEntries},
	} {
		entries, err := Parse(strings.NewReader(testCase.text))
		if len(entries) != testCase.entries || !errors.Is(err, testCase.err) {
			t.Errorf("%s: Parse: got %d entries, error %v; want those of the test case", testCase.name, len(entries), err)
		}
	}
}

// TestJudge checks that a run passes if only listed tests fail, and that it fails in each of these
// cases, whatever the list holds: a failure that is not listed, a crash, a timeout, a data race, a
// failed build, a listed test that is skipped, and a run in which no test is played.
func TestJudge(t *testing.T) {
	const (
		passing = `{"Action":"pass","Package":"p","Test":"TestGood"}` + "\n"
		failing = `{"Action":"fail","Package":"p","Test":"TestBad/sub"}` + "\n" +
			`{"Action":"fail","Package":"p","Test":"TestBad"}` + "\n" +
			`{"Action":"fail","Package":"p"}` + "\n"
		panicking    = `{"Action":"output","Package":"p","Test":"TestBad","Output":"panic: x\n"}` + "\n" + failing
		buildFailing = `{"Action":"output","Package":"q","Output":"FAIL\tq [build failed]\n"}` + "\n" +
			`{"Action":"fail","Package":"q"}` + "\n"
		timedOut = `{"Action":"output","Package":"p","Test":"TestBad","Output":"panic: test timed out after 1s\n"}` + "\n" + failing
		racing   = `{"Action":"output","Package":"p","Test":"TestBad","Output":"WARNING: DATA RACE\n"}` + "\n" + failing
	)
	listed := []Entry{{Test: "p.TestBad", Cause: "cause", Issue: "16"}}
	for _, testCase := range []struct {
		name, events string
		entries      []Entry
		wantSuccess  bool
	}{
		{"all pass", passing, nil, true},
		{"nothing ran", "", nil, false},
		{"a failure", passing + failing, nil, false},
		{"a known failure", passing + failing, listed, true},
		{"another failure", passing + failing, []Entry{{Test: "p.TestOther", Cause: "cause", Issue: "16"}}, false},
		{"a listed test passes, which makes its entry stale", passing + `{"Action":"pass","Package":"p","Test":"TestBad"}`, listed, true},
		{"a listed test did not run, which another run may play", passing, listed, true},
		{"a listed test is skipped", passing + `{"Action":"skip","Package":"p","Test":"TestBad"}`, listed, false},
		{"a script is listed", passing, []Entry{{Test: "a.sh", IsScript: true, Cause: "cause", Issue: "16"}}, true},
		{"the only test is a known failure", failing, listed, true},
		{"a panic", passing + panicking, listed, false},
		{"a build failure", passing + failing + buildFailing, listed, false},
		{"a timeout", passing + timedOut, listed, false},
		{"a data race", passing + racing, listed, false},
		{"a package that fails without a test", passing + `{"Action":"fail","Package":"r"}`, nil, false},
	} {
		result, err := Judge(strings.NewReader(testCase.events), testCase.entries, io.Discard)
		if err != nil {
			t.Fatalf("%s: Judge: %v", testCase.name, err)
		}
		if result.IsSuccess() != testCase.wantSuccess {
			t.Errorf("%s: IsSuccess: got %v, want the opposite; result %+v", testCase.name, result.IsSuccess(), result)
		}
	}
	var out strings.Builder
	events := `{"Action":"output","Package":"a/b","Test":"TestBad/sub","Output":"the cause\n"}` + "\n" +
		`{"Action":"fail","Package":"a/b","Test":"TestBad"}` + "\n"
	if _, err := Judge(strings.NewReader(events), nil, &out); err != nil || !strings.Contains(out.String(), "the cause") {
		t.Errorf("Judge of a failed subtest: got output %q, error %v; want output with \"the cause\", no error", out.String(), err)
	}
	if _, err := Judge(strings.NewReader("{"), nil, io.Discard); err == nil {
		t.Error("Judge of an incomplete JSON event: got no error")
	}
}

// Guards against a list that can't excuse what it lists, since each of several runs fails on entries that it doesn't
// play, and against entries that stay when their fault is mended.
func TestStaleEntries(t *testing.T) {
	const (
		failed = `{"Action":"fail","Package":"p","Test":"TestBad"}` + "\n" + `{"Action":"fail","Package":"p"}` + "\n"
		passed = `{"Action":"pass","Package":"p","Test":"TestBad"}` + "\n"
		other  = `{"Action":"pass","Package":"p","Test":"TestGood"}` + "\n"
	)
	entries := []Entry{{Test: "p.TestBad", Cause: "cause", Issue: "16"}, {Test: "a.sh", IsScript: true, Cause: "cause", Issue: "39"}}
	for _, testCase := range []struct {
		name      string
		runs      []string
		wantStale int
	}{
		{"fails in the run that plays it", []string{other, failed, other}, 0},
		{"fails in one run and passes in another", []string{passed, failed}, 0},
		{"passes in the run that plays it", []string{other, passed}, 1},
		{"no run plays it", []string{other, other}, 1},
	} {
		var results []*Result
		for i, events := range testCase.runs {
			result, err := Judge(strings.NewReader(events), entries, io.Discard)
			if err != nil || !result.IsSuccess() {
				t.Fatalf("%s: run %d: got %+v, error %v, want a success", testCase.name, i, result, err)
			}
			results = append(results, result)
		}
		stale := StaleEntries(entries, results)
		if len(stale) != testCase.wantStale || len(stale) == 1 && stale[0].IsScript {
			t.Errorf("%s: stale entries: got %v, want %d and no script", testCase.name, stale, testCase.wantStale)
		}
	}
}

// TestJudgeReadsUndecodableEventsToTheEnd checks that Judge returns an error for events that cannot be
// decoded, and still reads all input. If it stopped reading, `go test` would block on a full pipe and
// never exit, and the run would hang.
func TestJudgeReadsUndecodableEventsToTheEnd(t *testing.T) {
	const largerThanPipeBuffer = 1 << 20
	events := strings.NewReader("no event\n" + strings.Repeat(" ", largerThanPipeBuffer))
	if _, err := Judge(events, nil, io.Discard); err == nil {
		t.Error("Judge of input that is not JSON: got no error")
	}
	if unread := events.Len(); unread != 0 {
		t.Errorf("Judge left %d bytes of its input unread, want 0", unread)
	}
}
