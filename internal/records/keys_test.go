package records

import "testing"

// Members of other versions read the keys, so the strings of the keys must never change.
func TestKeyStrings(t *testing.T) {
	for _, test := range []struct{ name, key, want string }{
		{"lock", LockKey, "firwood/lead"},
		{"machine types", MachineTypesKey, "firwood/types"},
		{"constraints", ConstraintsKey, "firwood/word"},
		{"token", TokenKey, "firwood/token"},
		{"standby", StandbyKey, "firwood/standby"},
		{"archive marker", ArchiveMarkerKey, "firwood/archive"},
		{"job", JobKey("req-000001"), "firwood/job/req-000001"},
		{"archived job", ArchiveKey("req-000001"), "firwood.finished/req-000001"},
		{"progress", ProgressKey("req-000001", 3), "firwood/done/req-000001/3"},
		{"dependencies", DependenciesKey("req-000001", 2), "firwood/needs/req-000001/2"},
		{"scale-out request", ScaleOutKey("a-5-1"), "firwood/hire/a-5-1"},
		{"worker contact", WorkerContactKey("b"), "firwood/asked/b"},
		{"watched prefix", WatchedPrefix, "firwood/"},
		{"job prefix", JobPrefix, "firwood/job/"},
		{"archive prefix", ArchivePrefix, "firwood.finished/"},
		{"progress prefix", ProgressPrefix, "firwood/done/"},
		{"dependencies prefix", DependenciesPrefix, "firwood/needs/"},
		{"scale-out prefix", ScaleOutPrefix, "firwood/hire/"},
		{"worker contact prefix", WorkerContactPrefix, "firwood/asked/"},
	} {
		if test.key != test.want {
			t.Errorf("%s: got key %q, want %q", test.name, test.key, test.want)
		}
	}
}

// A numbered key must name a job and a number within its range; any other key is rejected.
func TestParseNumberedKeysRejectsMalformedKeys(t *testing.T) {
	for _, test := range []struct {
		suffix string
		id     string
		number int
		ok     bool
	}{
		{"req-000001/0", "req-000001", 0, true},
		{"req-000001/17", "req-000001", 17, true},
		{"req-000001", "", 0, false},
		{"req-000001/", "", 0, false},
		{"req-000001/x", "", 0, false},
		{"req-000001/-1", "", 0, false},
		{"req-000001/1/2", "", 0, false},
		{"req-000001/99999999999", "", 0, false},
	} {
		for prefix, parse := range map[string]func(string) (string, int, bool){ProgressPrefix: ParseProgressKey, DependenciesPrefix: ParseDependenciesKey} {
			if id, number, ok := parse(prefix + test.suffix); id != test.id || number != test.number || ok != test.ok {
				t.Errorf("parsing %s%s: got id %q, number %d, ok %v", prefix, test.suffix, id, number, ok)
			}
		}
	}
}
