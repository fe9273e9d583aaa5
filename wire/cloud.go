package wire

// States of a machine in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// Limits of the cloud's requests.
const (
	MaxHire   = 50
	MaxDelete = 100
	MaxList   = 500
)

// MachineType is one kind of machine on offer.
type MachineType struct {
	Name        string   `json:"name"`
	CPUs        float64  `json:"cores"`
	GPUs        float64  `json:"gpus"`
	MemoryGB    float64  `json:"ramGb"`
	CacheGB     float64  `json:"localGb"`
	FetchGBPerS float64  `json:"pullGbPerS"`
	Price       float64  `json:"rate"`
	SpotPrice   float64  `json:"spotPrice"`
	BootS       float64  `json:"bootS"`
	Zones       []string `json:"yards"`
}

// MachineTypes answers the request for what is on offer.
type MachineTypes struct {
	Types []MachineType `json:"rigs"`
}

// Hire asks for machines. Request names are never used twice.
type Hire struct {
	Request string `json:"hire"`
	Type    string `json:"rig"`
	Zone    string `json:"yard"`
	Spot    bool   `json:"loaners"`
	Count   int    `json:"count"`
}

// Machines names machines.
type Machines struct {
	Machines []string `json:"boxes"`
}

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	ID    string  `json:"nameId"`
	Addr  string  `json:"endpoint"`
	Type  string  `json:"rig"`
	Zone  string  `json:"yard"`
	Spot  bool    `json:"loaners"`
	State string  `json:"stage"`
	AgeS  float64 `json:"heldS"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `json:"boxes"`
	More     bool            `json:"hasNext"`
}
