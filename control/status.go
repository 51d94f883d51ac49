package control

import (
	"fmt"
	"net/url"
	"strings"

	"toucanfall/fleet"
	"toucanfall/operator"
)

type status struct {
	session *session
	Offset  uint64 `long:"offset" value-name:"OFFSET" description:"fail unless every listed VM answers and has applied this offset, as a command showed it"`
}

// Execute shows the state of all VMs.
func (c *status) Execute([]string) error {
	var st operator.Status
	if err := c.session.ask("status", nil, &st); err != nil {
		return err
	}
	if err := c.show(st); err != nil {
		return err
	}
	if c.Offset == 0 || (st.Everywhere && st.InForce >= fleet.Offset(c.Offset)) {
		return nil
	}
	return fmt.Errorf("offset %d is not known to be in force everywhere; not known of: %s", c.Offset, behind(st, fleet.Offset(c.Offset)))
}

func (c *status) show(st operator.Status) error {
	var rows []string
	for _, v := range st.VMs {
		same := "same"
		if !v.SameWithdrawals {
			same = "differ"
		}
		rows = append(rows, row(v.VM, v.DataCentre, v.Answering, v.Leaving, v.LogReachable, v.CutOff, same, v.Applied))
	}
	scope := "in force on the VMs that answer"
	if st.Everywhere {
		scope = "in force everywhere"
	}
	rows = append(rows, row(scope, "", "", "", "", "", "", st.InForce))
	for _, key := range st.NotLogged {
		rows = append(rows, "withdrawn and not yet in the log: "+string(key))
	}
	return c.session.table(st, "VM\tDATA CENTRE\tANSWERS\tLEAVING\tREACHES LOG\tCUT OFF\tWITHDRAWALS\tAPPLIED", rows)
}

// behind lists the VMs that do not answer or have not applied offset.
func behind(st operator.Status, offset fleet.Offset) string {
	var ids []string
	for _, v := range st.VMs {
		if !v.Answering || v.Applied < offset {
			ids = append(ids, string(v.VM))
		}
	}
	return strings.Join(ids, ", ")
}

type showHistory struct {
	session *session
	Args    struct {
		Path string `positional-arg-name:"PATH" description:"LEVEL:NAME of a setting, or KIND/ID such as key/quotes-1"`
	} `positional-args:"true" required:"true"`
}

// Execute shows the changes of a path and how far back they are kept.
func (c *showHistory) Execute([]string) error {
	var h operator.PathHistory
	if err := c.session.ask("history", url.Values{"path": {c.Args.Path}}, &h); err != nil {
		return err
	}
	var rows []string
	for _, change := range h.Changes {
		verdict := "accepted"
		if change.Fault != "" {
			verdict = string(change.Fault)
		}
		rows = append(rows, row(change.Offset, change.At, change.Proposer, change.Kind, verdict, string(change.Body)))
	}
	rows = append(rows, fmt.Sprintf("every change since offset %d is shown", h.Since))
	if h.Revision != 0 {
		rows = append(rows, fmt.Sprintf("it stands at revision %d, by %s", h.Revision, h.Proposer))
	} else {
		rows = append(rows, "it does not exist")
	}
	return c.session.table(h, "OFFSET\tAT\tBY\tKIND\tVERDICT\tVALUE", rows)
}
