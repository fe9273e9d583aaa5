package main

// The three small deployments that the pages describe: their settings and machine types.

func newDeployment(names []string, locations ...string) deployment {
	d := deployment{names: names, locations: map[string]string{}, serve: map[string]string{}, peer: map[string]string{}}
	for i, name := range names {
		d.locations[name] = locations[i%len(locations)]
		d.serve[name], d.peer[name] = freeAddress(), freeAddress()
	}
	return d
}

var riggers = []string{"rigger-0", "rigger-1", "rigger-2"}

// floodline is Tilehaven's deployment for flood maps (kit/added).
func floodline() (deployment, []flavor) {
	d := newDeployment(riggers, "kotri")
	d.zones = []string{"kotri"}
	d.teams = []map[string]any{
		{"name": "deltawatch", "cpus": 0.0, "cpus_max": 0.0, "gpus": 150.0, "gpus_max": 350.0},
		{"name": "modelyard", "cpus": 0.0, "cpus_max": 0.0, "gpus": 350.0, "gpus_max": 1000.0},
	}
	d.objectives = []map[string]any{
		{"kind": "wait", "class": "floodnet-train", "within_s": 18.0, "share": 0.85},
		{"kind": "wait", "class": "floodnet-train", "within_s": 30.0, "share": 0.96},
		{"kind": "finished", "class": "floodnet-train", "within_s": 250.0, "share": 0.94},
		{"kind": "finished", "class": "floodscore", "within_s": 250.0, "share": 0.88},
		{"kind": "finished", "class": "floodscore", "within_s": 400.0, "share": 0.94},
	}
	d.workers = workerTimings{1.5, 10, 45, 6, 35}
	d.state = stateLimits{200, 20, 4, 8}
	d.cloudRPS, d.listLagS = 8, 3
	d.cores, d.ramMB, d.sockets, d.clockErrMS = 0.12, 98, 900, 100
	return d, []flavor{{name: "kharif-gpu", cores: 12, gpus: 2, ramGb: 96, localGb: 150, pullGbPerS: 0.3, rate: 5.55, spotPrice: 1.99, bootS: 25, yards: []string{"kotri"}}}
}

// kingston is Yardmarket's deployment, with the settings of the change request (kit/change).
func kingston() (deployment, []flavor) {
	d := newDeployment(riggers, "portmore", "halfway")
	d.zones = []string{"portmore", "halfway", "mobay"}
	d.teams = []map[string]any{{"name": "pitchcrew", "cpus": 32.0, "cpus_max": 72.0, "gpus": 0.0, "gpus_max": 0.0}}
	d.objectives = []map[string]any{{"kind": "wait", "class": "stallbook", "within_s": 40.0, "share": 0.8}}
	d.workers = workerTimings{2, 14, 35, 4, 44}
	d.state = stateLimits{200, 80, 16, 48}
	d.cloudRPS, d.listLagS = 2, 4
	d.cores, d.ramMB, d.sockets, d.clockErrMS = 0.18, 125, 900, 250
	return d, []flavor{{name: "blue-mid", cores: 16, gpus: 0, ramGb: 64, localGb: 80, pullGbPerS: 0.8, rate: 0.92, spotPrice: 0.4, bootS: 15, yards: []string{"portmore", "halfway", "mobay"}}}
}

// submission returns a submission and what a worker knows of it.
func submission(j *job, crew, lot, rank string, loaners, oneZone, spread bool, guessS float64) object {
	return object{
		"nameId": j.id, "lot": lot, "crew": crew, "shape": j.shape, "rank": rank, "pieces": j.pieces,
		"cores": j.cores, "gpus": j.gpus, "ramGb": j.ramGb, "bundle": j.bundle, "pullGb": j.pullGb,
		"rigs": nil, "yard": nil, "oneZone": oneZone, "spread": spread, "loaners": loaners,
		"guessS": guessS, "markS": 0.0, "stashS": 0.0, "dueS": nil,
	}
}
