package dialect

import (
	"context"
	"fmt"
	"net/http"

	"toucanfall/fleet"
)

// VMListAnswer is the platform's list of VMs.
type VMListResponse struct {
	VMs []fleet.VM `json:"vms"`
}

// VMList is a client of the platform's list of VMs.
type VMList struct {
	base string
	hc   *http.Client
}

// NewVMList returns a client of the list at the base URL.
func NewVMList(base string, rt http.RoundTripper) *VMList {
	return &VMList{base: base, hc: &http.Client{Transport: rt}}
}

// VMs returns all VMs that the platform lists. The list lags.
func (l *VMList) VMs(ctx context.Context) ([]fleet.VM, error) {
	var a VMListResponse
	if err := call(ctx, l.hc, http.MethodGet, l.base+"/v1/vms", nil, &a); err != nil {
		return nil, fmt.Errorf("read the VM list: %w", err)
	}
	return a.VMs, nil
}
