package control

import (
	"encoding/json"
	"fmt"
	"strings"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/keyring"
	"toucanfall/ledger"
	"toucanfall/operator"
	"toucanfall/settings"
)

// based is the revision that a change is based on.
type based struct {
	Base uint64 `long:"base" value-name:"REVISION" description:"revision that the change is based on; 0 makes a new thing"`
}

// checked is a value that can tell what is wrong with it.
type checked interface{ Check() error }

// propose checks a change, sends it and prints its verdict.
func (s *session) propose(kind ledger.Kind, base uint64, body checked) error {
	if err := body.Check(); err != nil {
		return usage(err)
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	v, err := c.Command(background(), kind, fleet.Revision(base), body)
	if err != nil {
		return err
	}
	return s.table(v, "VERDICT\tOFFSET\tREVISION", []string{row("accepted", v.Offset, v.Revision)})
}

type secretCommand struct{ session *session }

// Execute prints a fresh secret and its hash.
func (c *secretCommand) Execute([]string) error {
	secret := fleet.NewSecret()
	hash, err := secret.Hash().MarshalText()
	if err != nil {
		return err
	}
	v := shownSecret{Secret: string(secret), Hash: string(hash)}
	return c.session.table(v, "SECRET\tHASH", []string{row(v.Secret, v.Hash)})
}

// shownSecret is a secret that is printed once.
type shownSecret struct {
	ID     string `json:"id,omitempty"`
	Secret string `json:"secret"`
	Hash   string `json:"hash,omitempty"`
}

type putTeam struct {
	session *session
	based
	Name string `long:"name" description:"name for people"`
	Args struct {
		Team string `positional-arg-name:"TEAM"`
	} `positional-args:"true" required:"true"`
}

// Execute proposes the team.
func (c *putTeam) Execute([]string) error {
	return c.session.propose(ledger.KindTeam, c.Base, &fleet.Team{ID: fleet.TeamID(c.Args.Team), Name: c.Name})
}

type createKey struct {
	session *session
	Args    struct {
		Team string `positional-arg-name:"TEAM"`
		Key  string `positional-arg-name:"KEY-ID"`
	} `positional-args:"true" required:"true"`
}

// Execute makes the secret here, so that it never leaves this process but on
// its output, and proposes its hash.
func (c *createKey) Execute([]string) error {
	secret := fleet.NewSecret()
	key := &fleet.Key{ID: fleet.KeyID(c.Args.Key), Team: fleet.TeamID(c.Args.Team), Hash: secret.Hash()}
	if err := key.Check(); err != nil {
		return usage(err)
	}
	cl, err := c.session.client()
	if err != nil {
		return err
	}
	if _, err := cl.Command(background(), ledger.KindKey, 0, key); err != nil {
		return err
	}
	v := shownSecret{ID: c.Args.Key, Secret: string(secret)}
	return c.session.table(v, "KEY\tSECRET (shown once)", []string{row(v.ID, v.Secret)})
}

type withdrawKey struct {
	session *session
	Args    struct {
		Key string `positional-arg-name:"KEY-ID"`
	} `positional-args:"true" required:"true"`
}

// Execute withdraws the key and shows where that is in force. An outage of the
// log does not stop it, but ends in the exit code for unavailable.
func (c *withdrawKey) Execute([]string) error {
	if err := fleet.CheckID("key", c.Args.Key); err != nil {
		return usage(err)
	}
	cl, err := c.session.client()
	if err != nil {
		return err
	}
	o, err := cl.Command(background(), ledger.KindWithdraw, 0, &ledger.Withdrawal{Key: fleet.KeyID(c.Args.Key)})
	if err != nil {
		return err
	}
	if err := c.show(o); err != nil {
		return err
	}
	if o.NotLogged {
		return fault.New(fault.StoreUnavailable, "the log cannot be reached: key %q is refused on the VMs above, but its withdrawal is not yet in the log; the VMs go on trying to write it and to tell the others", c.Args.Key)
	}
	return nil
}

func (c *withdrawKey) show(o operator.Outcome) error {
	offset := fmt.Sprint(o.Offset)
	if o.NotLogged {
		offset = "not yet in the log"
	}
	reach := keyring.Reach{}
	if o.Reach != nil {
		reach = *o.Reach
	}
	rows := []string{row(c.Args.Key, offset, join(reach.Informed), join(reach.Missed))}
	return c.session.table(o, "KEY\tOFFSET\tREFUSED ON\tNOT REACHED YET", rows)
}

// join lists ids, or a hyphen if there are none.
func join(ids []fleet.VMID) string {
	if len(ids) == 0 {
		return "-"
	}
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = string(id)
	}
	return strings.Join(texts, ", ")
}

type putModel struct {
	session *session
	based
	Version string `long:"version" default:"v1" description:"version of the weights"`
	Size    int64  `long:"size" required:"true" value-name:"BYTES" description:"accelerator memory of the weights"`
	Args    struct {
		Model string `positional-arg-name:"MODEL"`
	} `positional-args:"true" required:"true"`
}

// Execute proposes the model.
func (c *putModel) Execute([]string) error {
	return c.session.propose(ledger.KindModel, c.Base, &fleet.Model{ID: fleet.ModelID(c.Args.Model), Version: c.Version, Size: fleet.Bytes(c.Size)})
}

type putAdapter struct {
	session *session
	based
	Model string `long:"model" required:"true" description:"base model"`
	Size  int64  `long:"size" required:"true" value-name:"BYTES" description:"accelerator memory of the adapter"`
	Args  struct {
		Adapter string `positional-arg-name:"ADAPTER"`
	} `positional-args:"true" required:"true"`
}

// Execute proposes the adapter.
func (c *putAdapter) Execute([]string) error {
	return c.session.propose(ledger.KindAdapter, c.Base, &fleet.Adapter{ID: fleet.AdapterID(c.Args.Adapter), Model: fleet.ModelID(c.Model), Size: fleet.Bytes(c.Size)})
}

type putRoute struct {
	session *session
	based
	Kind       string   `long:"kind" required:"true" choice:"draft" choice:"service" description:"how requests are carried"`
	Teams      []string `long:"team" description:"team that may use the route; may be repeated"`
	Open       bool     `long:"open" description:"let anyone use the route"`
	Model      string   `long:"model" description:"draft: model"`
	Adapter    string   `long:"adapter" description:"draft: adapter"`
	Service    string   `long:"service" description:"service: name of the plain service"`
	Repeatable bool     `long:"repeatable" description:"service: requests may be repeated"`
	Priority   string   `long:"priority" default:"normal" choice:"interactive" choice:"normal" choice:"batch" description:"priority class"`
	Args       struct {
		Route string `positional-arg-name:"ROUTE"`
	} `positional-args:"true" required:"true"`
}

// Execute proposes the route.
func (c *putRoute) Execute([]string) error {
	r := &fleet.Route{
		ID:         fleet.RouteID(c.Args.Route),
		Kind:       fleet.RouteKind(c.Kind),
		Open:       c.Open,
		Model:      fleet.ModelID(c.Model),
		Adapter:    fleet.AdapterID(c.Adapter),
		Service:    c.Service,
		Repeatable: c.Repeatable,
		Priority:   fleet.Priority(c.Priority),
	}
	for _, t := range c.Teams {
		r.Teams = append(r.Teams, fleet.TeamID(t))
	}
	return c.session.propose(ledger.KindRoute, c.Base, r)
}

type setSetting struct {
	session *session
	based
	Args struct {
		Path  string `positional-arg-name:"LEVEL:NAME"`
		Value string `positional-arg-name:"VALUE"`
	} `positional-args:"true" required:"true"`
}

// Execute proposes the value.
func (c *setSetting) Execute([]string) error {
	path, err := settings.ParsePath(c.Args.Path)
	if err != nil {
		return usage(err)
	}
	return c.session.propose(ledger.KindSetting, c.Base, &settings.Put{Path: path, Value: jsonValue(c.Args.Value)})
}

// jsonValue takes a number as it is and anything else as a string.
func jsonValue(s string) settings.Value {
	var n float64
	if json.Unmarshal([]byte(s), &n) == nil {
		return settings.Value{RawMessage: json.RawMessage(s)}
	}
	// A string can always be encoded.
	b, _ := json.Marshal(s)
	return settings.Value{RawMessage: b}
}

type putOperator struct {
	session *session
	based
	Access   string `long:"access" default:"read" choice:"read" choice:"write" description:"what the operator may do"`
	Disabled bool   `long:"disabled" description:"refuse the operator from now on"`
	Args     struct {
		Operator string `positional-arg-name:"OPERATOR"`
	} `positional-args:"true" required:"true"`
}

// Execute proposes the operator with a new credential.
func (c *putOperator) Execute([]string) error {
	secret := fleet.NewSecret()
	op := &ledger.Operator{ID: fleet.OperatorID(c.Args.Operator), Hash: secret.Hash(), Access: ledger.Access(c.Access), Disabled: c.Disabled}
	if err := fleet.CheckID("operator", op.ID); err != nil {
		return usage(err)
	}
	cl, err := c.session.client()
	if err != nil {
		return err
	}
	if _, err := cl.Command(background(), ledger.KindOperator, fleet.Revision(c.Base), op); err != nil {
		return err
	}
	v := shownSecret{ID: c.Args.Operator, Secret: string(secret)}
	return c.session.table(v, "OPERATOR\tCREDENTIAL (shown once)", []string{row(v.ID, v.Secret)})
}
