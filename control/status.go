package control

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"toucanfall/fleet"
	"toucanfall/membership"
	"toucanfall/operator"
)

type status struct {
	session *session
	Offset  uint64        `long:"offset" value-name:"OFFSET" description:"fail unless every listed VM answers and has applied this offset, as a command showed it"`
	Wait    time.Duration `long:"wait" value-name:"DURATION" description:"with --offset: ask again for up to this long"`
}

// statusInterval is how often a waiting status asks. VMs tell each other what
// they have applied by heartbeats, which are as far apart.
const statusInterval = membership.HeartbeatInterval

// Execute shows the state of all VMs.
func (c *status) Execute([]string) error {
	offset := fleet.Offset(c.Offset)
	end := time.Now().Add(c.Wait)
	for {
		var st operator.Status
		if err := c.session.ask("status", nil, &st); err != nil {
			return err
		}
		inForce := st.AllAnswering && st.AppliedByAnswering >= offset
		if offset > 0 && !inForce && time.Now().Before(end) {
			time.Sleep(statusInterval)
			continue
		}
		if err := c.show(st); err != nil {
			return err
		}
		if offset > 0 && !inForce {
			return fmt.Errorf("offset %d is not known to be in force everywhere; not known of: %s", offset, behind(st, offset))
		}
		return nil
	}
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
	if st.AllAnswering {
		scope = "in force everywhere"
	}
	rows = append(rows, row(scope, "", "", "", "", "", "", st.AppliedByAnswering))
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
