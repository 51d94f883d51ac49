package dialect

import (
	"context"
	"fmt"
	"net/http"

	"toucanfall/fleet"
	"toucanfall/internal/httpfield"
)

// VMListResponse is the response that holds the platform's VM list.
type VMListResponse struct {
	VMs []fleet.VM `json:"vms"`
}

// VMList is a client of the platform's VM list.
type VMList struct {
	baseURL string
	hc      *http.Client
}

// NewVMList returns a client of the list at the base URL.
func NewVMList(baseURL string, rt http.RoundTripper) *VMList {
	return &VMList{baseURL: baseURL, hc: &http.Client{Transport: httpfield.NewTransport(rt)}}
}

// VMs returns all VMs on the platform's VM list, which may be stale.
func (l *VMList) VMs(ctx context.Context) ([]fleet.VM, error) {
	var resp VMListResponse
	if err := doJSON(ctx, l.hc, http.MethodGet, l.baseURL+"/v1/vms", nil, &resp); err != nil {
		return nil, fmt.Errorf("read the VM list: %w", err)
	}
	return resp.VMs, nil
}
