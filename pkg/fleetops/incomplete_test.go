package fleetops

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// incompleteList is a VM service one of whose VMs can't be read.
type incompleteList struct{ platform.Machines }

func (incompleteList) ListMachines(context.Context) ([]platform.Machine, error) {
	return []platform.Machine{{VM: "v1", Pool: "p"}}, platform.ErrIncomplete{Op: "list machines", Cause: "a VM can't be read"}
}

// TestIncompleteList guards against a VM that counts as gone, or not as one of its pool, since it can't be read.
func TestIncompleteList(t *testing.T) {
	r := &Runner{cfg: Config{Machines: incompleteList{}}}
	machines, err := r.listMachines(context.Background())
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, machines, qt.HasLen, 0)
}
