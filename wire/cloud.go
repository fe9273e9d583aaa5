package wire

// States of a machine in the cloud's list, in ListedMachine.State.
const (
	MachineBooting = "booting" // a machine that never comes up stays in this state until it is deleted
	MachineRunning = "running"
	MachineFailed  = "failed" // stopped by itself; no longer charged, but listed until it is deleted
)

// Limits of one request to the cloud, in machines.
const (
	MaxScaleOutCount     = 50
	MaxMachinesPerDelete = 100
	MaxMachinesPerPage   = 500
)

// MachineType is a type of machine that the cloud offers (PROTOCOL, GET /flavors).
type MachineType struct {
	Name     string  `json:"name"`
	CPUs     float64 `json:"cores"`
	GPUs     float64 `json:"gpus"`
	MemoryGB float64 `json:"ramGb"`
	// ImageCacheGB is the capacity of the machine's image cache.
	ImageCacheGB     float64 `json:"localGb"`
	FetchGBPerSecond float64 `json:"pullGbPerS"`
	// OnDemandPrice and SpotPrice are prices per hour. Spot prices change over time.
	OnDemandPrice float64 `json:"rate"`
	SpotPrice     float64 `json:"spotPrice"`
	// BootSeconds is the nominal boot time. Most boots take 0.6 to 1.5 times as long; some lie far
	// outside that range.
	BootSeconds float64  `json:"bootS"`
	Zones       []string `json:"yards"`
}

// MachineTypeList is the response to GET /flavors.
type MachineTypeList struct {
	Types []MachineType `json:"rigs"`
}

// ScaleOutRequest asks the cloud for up to Count machines (PROTOCOL, POST /hosts). RequestID makes the
// request idempotent: a repetition of a request that was filled creates no more machines. No
// controller may ever use the same RequestID for a different request.
type ScaleOutRequest struct {
	RequestID   string `json:"hire"`
	MachineType string `json:"rig"`
	Zone        string `json:"yard"`
	Spot        bool   `json:"loaners"`
	Count       int    `json:"count"`
}

// MachineIDs lists machines that the cloud created or is asked to delete.
type MachineIDs struct {
	IDs []string `json:"boxes"`
}

// ListedMachine is a machine in the cloud's list (PROTOCOL, GET /hosts). The list lags behind the
// cloud's state: it may lack new machines and contain machines that are gone.
type ListedMachine struct {
	ID          string `json:"nameId"`
	Address     string `json:"endpoint"`
	MachineType string `json:"rig"`
	Zone        string `json:"yard"`
	Spot        bool   `json:"loaners"`
	State       string `json:"stage"`
	// AgeSeconds is the time from the scale-out request to the moment that the list describes.
	AgeSeconds float64 `json:"heldS"`
}

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `json:"boxes"`
	HasMore  bool            `json:"hasNext"`
}
