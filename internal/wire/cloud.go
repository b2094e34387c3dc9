package wire

import (
	"net/http"
	"net/url"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/scheduler"
)

// noCapacityError is the cloud's error for a machine type without capacity, as
// opposed to a refused request.
const noCapacityError = "no capacity"

var instanceStates = vocabulary[string]{{"booting", "starting"}}

type catalogBody struct {
	Types []machineTypeBody `json:"hulls"`
}

type machineTypeBody struct {
	Name      string   `json:"sku"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"cards"`
	MemoryGB  float64  `json:"memory_gb"`
	CacheGB   float64  `json:"local_gb"`
	FetchGBps float64  `json:"pull_gb_per_s"`
	Price     float64  `json:"hourly"`
	SpotPrice float64  `json:"market_price"`
	BootS     float64  `json:"ready_s"`
	Zones     []string `json:"marshes"`
}

func (t *machineTypeBody) toMachineType() scheduler.MachineType {
	return scheduler.MachineType{
		Name: t.Name,
		Resources: availability.Resources{
			CPUs:     t.CPUs,
			GPUs:     t.GPUs,
			MemoryGB: t.MemoryGB,
			DiskGB:   t.CacheGB,
		},
		ImageFetchGBps: t.FetchGBps,
		Price:          t.Price,
		SpotPrice:      t.SpotPrice,
		BootS:          t.BootS,
		Zones:          t.Zones,
	}
}

type provisionBody struct {
	IdempotencyKey string `json:"charter"`
	Type           string `json:"hull"`
	Zone           string `json:"marsh"`
	Spot           bool   `json:"driftwood"`
	Count          int    `json:"how_many"`
}

// machineIDsBody lists the instances that were provisioned or are to be released.
type machineIDsBody struct {
	Machines []string `json:"berths"`
}

type instanceListBody struct {
	Machines []instanceBody `json:"berths"`
	More     bool           `json:"more"`
}

type instanceBody struct {
	ID    string  `json:"ref"`
	Addr  string  `json:"addr"`
	Type  string  `json:"hull"`
	Zone  string  `json:"marsh"`
	Spot  bool    `json:"driftwood"`
	State string  `json:"stance"`
	AgeS  float64 `json:"held_s"`
}

func (i *instanceBody) toCloudMachine() scheduler.CloudMachine {
	return scheduler.CloudMachine{
		ID:    i.ID,
		Addr:  i.Addr,
		Type:  i.Type,
		Zone:  i.Zone,
		Spot:  i.Spot,
		State: termOrSame(instanceStates, i.State),
		AgeS:  i.AgeS,
	}
}

type errorBody struct {
	Error string `json:"error"`
}

// CloudRequest encodes a request to the cloud.
func CloudRequest(op scheduler.CloudOp) Request {
	switch op.Kind {
	case scheduler.CloudCatalog:
		return Request{Method: http.MethodGet, Path: "/catalog"}
	case scheduler.CloudList:
		return Request{Method: http.MethodGet, Path: "/rentals?" + pageQuery(url.Values{}, op.StartAfter)}
	case scheduler.CloudProvision:
		b := provisionBody{
			IdempotencyKey: op.IdempotencyKey,
			Type:           op.Type,
			Zone:           op.Zone,
			Spot:           op.Spot,
			Count:          op.Count,
		}
		return Request{Method: http.MethodPost, Path: "/rentals", Body: mustEncode(b)}
	}
	b := machineIDsBody{Machines: op.Machines}
	return Request{Method: http.MethodPost, Path: "/rentals/release", Body: mustEncode(b)}
}

// ParseCloudResult parses the cloud's response. Without a response, or with one
// that cannot be parsed, it is unknown whether the request was executed.
func ParseCloudResult(op scheduler.CloudOp, status int, body []byte) scheduler.CloudResult {
	switch status {
	case http.StatusOK:
		return parseCloudSuccess(op, body)
	case 0:
		return scheduler.CloudResult{Outcome: scheduler.Unknown}
	}
	var e errorBody
	if status == http.StatusServiceUnavailable && decode(body, &e) == nil && e.Error == noCapacityError {
		return scheduler.CloudResult{Outcome: scheduler.NotFound}
	}
	return scheduler.CloudResult{Outcome: scheduler.Refused}
}

func parseCloudSuccess(op scheduler.CloudOp, body []byte) scheduler.CloudResult {
	r := scheduler.CloudResult{Outcome: scheduler.Unknown}
	var err error
	switch op.Kind {
	case scheduler.CloudCatalog:
		var b catalogBody
		err = decode(body, &b)
		for _, t := range b.Types {
			r.Types = append(r.Types, t.toMachineType())
		}
	case scheduler.CloudList:
		var b instanceListBody
		err = decode(body, &b)
		r.More = b.More
		for _, i := range b.Machines {
			r.List = append(r.List, i.toCloudMachine())
		}
	case scheduler.CloudProvision:
		var b machineIDsBody
		err = decode(body, &b)
		r.Machines = b.Machines
	}
	if err == nil {
		r.Outcome = scheduler.OK
	}
	return r
}
