package fake

import (
	"net/http"
	"net/url"
	"sort"
	"strconv"

	"firwood.dev/firwood/wire"
)

// ServeHTTP serves the cloud's API.
func (cloud *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	if cloud.isDown {
		writeUnavailable(w)
		return
	}
	switch path := r.URL.Path; {
	case path == "/flavors":
		writeJSON(w, 200, wire.MachineTypeList{Types: cloud.cfg.MachineTypes})
	case path == "/hosts" && r.Method == "GET":
		cloud.serveMachineList(w, r.URL.Query())
	case path == "/hosts":
		cloud.serveScaleOut(w, r)
	case path == "/hosts/delete":
		cloud.serveDelete(w, r)
	default:
		writeJSON(w, 404, struct{}{})
	}
}

// serveMachineList answers with one page of the machines, in the order of their names.
func (cloud *Cloud) serveMachineList(w http.ResponseWriter, query url.Values) {
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > wire.MaxMachinesPerPage {
		limit = wire.MaxMachinesPerPage
	}
	var names []string
	for name := range cloud.workers {
		if name > query.Get("since") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	page := wire.MachineList{Machines: []wire.ListedMachine{}, HasMore: len(names) > limit}
	for _, name := range names[:min(len(names), limit)] {
		page.Machines = append(page.Machines, cloud.workers[name].machine)
	}
	writeJSON(w, 200, page)
}

// serveScaleOut boots the machines of a scale-out request and answers with their IDs. A repeated request
// gets the same machines again.
func (cloud *Cloud) serveScaleOut(w http.ResponseWriter, r *http.Request) {
	var request wire.ScaleOutRequest
	if !readJSON(r, &request) || request.Count < 1 || request.Count > wire.MaxScaleOutCount {
		writeJSON(w, 400, struct{}{})
		return
	}
	if cloud.machinesByRequest[request.RequestID] == nil && cloud.capacity > 0 {
		request.Count = min(request.Count, cloud.capacity-len(cloud.workers))
		if request.Count <= 0 {
			writeJSON(w, 503, wire.ErrorResponse{Error: "no capacity"})
			return
		}
	}
	if cloud.machinesByRequest[request.RequestID] == nil {
		for range request.Count {
			cloud.machinesByRequest[request.RequestID] = append(cloud.machinesByRequest[request.RequestID], cloud.bootMachine(request))
		}
	}
	writeJSON(w, 200, wire.MachineIDs{IDs: cloud.machinesByRequest[request.RequestID]})
}

// serveDelete deletes the machines of a request and ignores those that do not exist.
func (cloud *Cloud) serveDelete(w http.ResponseWriter, r *http.Request) {
	var request wire.MachineIDs
	if !readJSON(r, &request) {
		writeJSON(w, 400, struct{}{})
		return
	}
	for _, machine := range request.IDs {
		cloud.deleteMachine(machine)
	}
	writeJSON(w, 200, struct{}{})
}
