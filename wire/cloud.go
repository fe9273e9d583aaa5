package wire

// States of a machine in the cloud's list, in ListedMachine.State.
const (
	MachineBooting = "booting" // also of one that never comes up, until it is deleted
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
	// ImageCacheGB is the size of the machine's image cache.
	ImageCacheGB     float64 `json:"localGb"`
	FetchGBPerSecond float64 `json:"pullGbPerS"`
	// OnDemandPrice and SpotPrice are per hour; spot prices change.
	OnDemandPrice float64 `json:"rate"`
	SpotPrice     float64 `json:"spotPrice"`
	// BootSeconds is nominal; usual boot times are 0.6 to 1.5 times as long, some far outside.
	BootSeconds float64  `json:"bootS"`
	Zones       []string `json:"yards"`
}

// MachineTypeList is the response to GET /flavors.
type MachineTypeList struct {
	Types []MachineType `json:"rigs"`
}

// ScaleOutRequest asks the cloud for up to Count machines (PROTOCOL, POST /hosts). RequestID
// makes it idempotent: repeating one that was filled creates nothing more. It must never be used for another
// request, by any controller.
type ScaleOutRequest struct {
	RequestID   string `json:"hire"`
	MachineType string `json:"rig"`
	Zone        string `json:"yard"`
	Spot        bool   `json:"loaners"`
	Count       int    `json:"count"`
}

// MachineIDs lists machines that were created, or are to be deleted.
type MachineIDs struct {
	IDs []string `json:"boxes"`
}

// ListedMachine is a machine in the cloud's list (PROTOCOL, GET /hosts). The list lags: it may lack
// new machines, and have machines that are gone.
type ListedMachine struct {
	ID          string `json:"nameId"`
	Address     string `json:"endpoint"`
	MachineType string `json:"rig"`
	Zone        string `json:"yard"`
	Spot        bool   `json:"loaners"`
	State       string `json:"stage"`
	// AgeSeconds is the time since the scale-out request, as of the moment the list describes.
	AgeSeconds float64 `json:"heldS"`
}

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `json:"boxes"`
	HasMore  bool            `json:"hasNext"`
}
