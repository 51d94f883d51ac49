package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"toucanfall/dialect"
	"toucanfall/fleet"
)

// VMList is a stand-in for the platform's VM list. It is safe for concurrent
// use.
type VMList struct {
	mu  sync.Mutex // guards vms
	vms []fleet.VM
}

// NewVMList returns a list of the given VMs.
func NewVMList(vms ...fleet.VM) *VMList {
	return &VMList{vms: vms}
}

// Put adds a VM, or replaces the VM that has the same ID.
func (l *VMList) Put(vm fleet.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.vms, func(v fleet.VM) bool { return v.ID == vm.ID })
	if i < 0 {
		l.vms = append(l.vms, vm)
		return
	}
	l.vms[i] = vm
}

// Remove removes a VM if it is on the list.
func (l *VMList) Remove(id fleet.VMID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = slices.DeleteFunc(l.vms, func(v fleet.VM) bool { return v.ID == id })
}

// ServeHTTP serves GET and PUT /v1/vms and DELETE /v1/vms/ID.
func (l *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		l.mu.Lock()
		vms := slices.Clone(l.vms)
		l.mu.Unlock()
		writeJSON(w, http.StatusOK, dialect.VMListResponse{VMs: vms})
	case http.MethodPut:
		var vm fleet.VM
		if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Put(vm)
		w.WriteHeader(http.StatusNoContent)
	case http.MethodDelete:
		l.Remove(fleet.VMID(r.URL.Path[len("/v1/vms/"):]))
		w.WriteHeader(http.StatusNoContent)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}
