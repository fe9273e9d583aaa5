package wire

// States of a machine in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// Limits of the cloud's requests.
const (
	MaxScaleOutCount     = 50
	MaxMachinesPerDelete = 100
	MaxMachinesPerPage   = 500
)

// MachineType is one kind of machine on offer.
type MachineType struct {
	Name             string   `json:"name"`
	CPUs             float64  `json:"cores"`
	GPUs             float64  `json:"gpus"`
	MemoryGB         float64  `json:"ramGb"`
	ImageCacheGB     float64  `json:"localGb"`
	FetchGBPerSecond float64  `json:"pullGbPerS"`
	OnDemandPrice    float64  `json:"rate"`
	SpotPrice        float64  `json:"spotPrice"`
	BootSeconds      float64  `json:"bootS"`
	Zones            []string `json:"yards"`
}

// MachineTypeList answers the request for what is on offer.
type MachineTypeList struct {
	Types []MachineType `json:"rigs"`
}

// ScaleOutRequest asks for machines. Request names are never used twice.
type ScaleOutRequest struct {
	RequestID   string `json:"hire"`
	MachineType string `json:"rig"`
	Zone        string `json:"yard"`
	Spot        bool   `json:"loaners"`
	Count       int    `json:"count"`
}

// MachineIDs names machines.
type MachineIDs struct {
	IDs []string `json:"boxes"`
}

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	ID          string  `json:"nameId"`
	Address     string  `json:"endpoint"`
	MachineType string  `json:"rig"`
	Zone        string  `json:"yard"`
	Spot        bool    `json:"loaners"`
	State       string  `json:"stage"`
	AgeSeconds  float64 `json:"heldS"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `json:"boxes"`
	HasMore  bool            `json:"hasNext"`
}
