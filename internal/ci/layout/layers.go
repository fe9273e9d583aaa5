package layout

// Layer is a group of packages that may import packages of the same layer and of lower layers.
type Layer struct {
	// Name says what the packages have in common.
	Name string
	// Packages are the packages' directories, relative to the root of the repository.
	Packages []string
}

// Layers are the project's layers, the lowest first. Each package is listed in exactly one layer, on a
// line of its own. A new package goes into the lowest layer whose description fits the package and that
// is not below any package that it imports. Test files may import any package.
var Layers = []Layer{
	{"values, messages, settings and bounds", []string{
		"internal/clock",
		"internal/config",
		"internal/connlimit",
		"internal/http1",
		"internal/peer/fb",
		"wire",
	}},
	{"decisions: pure, without input or output", []string{
		"internal/allocation",
		"internal/commandqueue",
		"internal/dag",
		"internal/delegation",
		"internal/election",
		"internal/forecast",
		"internal/health",
		"internal/jobhistory",
		"internal/jobreport",
		"internal/rateshare",
		"internal/records",
		"internal/scaleout",
		"internal/scheduler",
		"internal/staleness",
		"internal/standby",
		"internal/storeview",
		"internal/versionedwrite",
	}},
	{"input and output", []string{
		"internal/client",
		"internal/cloud",
		"internal/kvstore",
		"internal/metrics",
		"internal/peer",
		"internal/server",
		"internal/tracing",
	}},
	{"what controllers tell each other: pure, in the messages' own types", []string{
		"internal/cancellation",
		"internal/hints",
	}},
	{"what a leader does, carried out by the controller's goroutine", []string{
		"internal/leader",
	}},
	{"the controller, which owns all state", []string{
		"internal/controller",
	}},
	{"the program", []string{
		"cmd/firwood",
	}},
	{"for tests and CI only", []string{
		"internal/ci/knownred",
		"internal/ci/layout",
		"internal/ci/runtests",
		"internal/e2e",
		"internal/fake",
		"internal/protocoltest",
		"internal/seed",
		"internal/sim",
	}},
}
