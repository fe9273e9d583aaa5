package metrics

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// The encoded metrics must be accepted by the format's own parser, with every label and every value that
// was set.
func TestEncodedMetricsAreParsedBack(t *testing.T) {
	metrics := New()
	metrics.CountReply(ReplyRenewed)
	metrics.CountReply(ReplyRenewed)
	metrics.CountReply(ReplyAsDelegate)
	metrics.CountCommands([]wire.Command{{Action: wire.ActionStop}, {Action: wire.ActionStart}, {Action: wire.ActionStop}}, ChannelReply, OutcomeSent)
	metrics.CountFailover()
	metrics.ObserveFailover(FailoverRebuild, 300*clock.Millisecond)
	text, err := metrics.Encode(&Status{
		IsLeader: true, Token: 41, EntitledFor: 3 * clock.Second, ViewAge: clock.Second / 2, ViewRevision: 77,
		LeaderStatus: LeaderStatus{Machines: 4000, UnconfirmedMachines: 12, ListedCancelledTasks: 3, OldestCancellationAge: 5 * clock.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]float64{
		"firwood_leader": 1, "firwood_token": 41, "firwood_may_act_seconds": 3, "firwood_view_age_seconds": 0.5, "firwood_view_revision": 77,
		"firwood_machines": 4000, "firwood_machines_unconfirmed": 12, "firwood_cancelled_tasks_listed": 3, "firwood_cancelled_task_oldest_seconds": 5,
	} {
		if family := families[name]; family == nil || family.GetMetric()[0].GetGauge().GetValue() != want {
			t.Errorf("metric %s is %v, want the value %v", name, family, want)
		}
	}
	for _, line := range []string{
		`firwood_heartbeat_replies_total{result="renewed"} 2`,
		`firwood_heartbeat_replies_total{result="as_delegate"} 1`,
		`firwood_heartbeat_replies_total{result="fenced"} 0`,
		`firwood_commands_total{channel="heartbeat_reply",kind="stop",outcome="sent"} 2`,
		`firwood_failovers_total 1`,
		`firwood_failover_seconds_bucket{part="rebuild",le="0.5"} 1`,
		`firwood_failover_seconds_count{part="lock"} 0`,
	} {
		if !strings.Contains(string(text), line+"\n") {
			t.Errorf("the encoded metrics lack the line %s", line)
		}
	}
}

// A value without a case in its String method would get the fallback label, which contains a "(". Two
// values of a type with the same label could not be told apart.
func TestLabelValuesAreNamedAndUnique(t *testing.T) {
	seen := map[string]bool{}
	check := func(value fmt.Stringer) {
		text := fmt.Sprintf("%T %v", value, value)
		if strings.Contains(value.String(), "(") || seen[text] {
			t.Errorf("label %s is the fallback or occurs twice, want a name of its own", text)
		}
		seen[text] = true
	}
	for reply := range heartbeatReplyCount {
		check(reply)
	}
	for part := range failoverPartCount {
		check(part)
	}
	for channel := ChannelReply; channel <= ChannelDelegate; channel++ {
		check(channel)
	}
	for outcome := OutcomeSent; outcome <= OutcomeUnknown; outcome++ {
		check(outcome)
	}
}

// Reading metrics must not race with changes to them.
func TestEncodeWhileMetricsChange(t *testing.T) {
	metrics := New()
	var goroutines sync.WaitGroup
	for range 4 {
		goroutines.Go(func() {
			for i := range 50 {
				metrics.CountReply(ReplyRenewed)
				if text, err := metrics.Encode(&Status{Token: uint64(i)}); err != nil || len(text) == 0 {
					t.Errorf("Encode returned %d bytes and the error %v, want text and no error", len(text), err)
				}
			}
		})
	}
	goroutines.Wait()
}
