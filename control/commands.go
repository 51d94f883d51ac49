package control

import (
	"encoding/json"
	"fmt"

	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/settings"
)

// commands lists the commands that change something.
func commands(s *session) []entry {
	return []entry{
		{"secret", "make a random credential and its hash", &secretCommand{session: s}},
		{"put-team", "make or change a team", &putTeam{session: s}},
		{"create-key", "make a key of a team and show it once", &createKey{session: s}},
		{"withdraw-key", "withdraw a key for good", &withdrawKey{session: s}},
		{"put-model", "make or change a model", &putModel{session: s}},
		{"put-adapter", "make or change an adapter", &putAdapter{session: s}},
		{"put-route", "make or change a route", &putRoute{session: s}},
		{"put-setting", "change a value of the settings tree", &putSetting{session: s}},
		{"put-operator", "make or change an operator and show a new credential once", &putOperator{session: s}},
	}
}

// based is the revision that a change is based on.
type based struct {
	Base uint64 `long:"base" value-name:"REVISION" description:"revision that the change is based on; 0 makes a new thing"`
}

// propose sends a change and prints its verdict.
func (s *session) propose(kind ledger.Kind, base uint64, body any) error {
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

// Execute proposes the withdrawal. It is in force on reachable VMs even if the
// log does not answer.
func (c *withdrawKey) Execute([]string) error {
	return c.session.propose(ledger.KindWithdraw, 0, &ledger.Withdrawal{Key: fleet.KeyID(c.Args.Key)})
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

type putSetting struct {
	session *session
	based
	Args struct {
		Path  string `positional-arg-name:"LEVEL:NAME"`
		Value string `positional-arg-name:"VALUE"`
	} `positional-args:"true" required:"true"`
}

// Execute checks the change here, for a clear error, and proposes it.
func (c *putSetting) Execute([]string) error {
	path, err := settings.ParsePath(c.Args.Path)
	if err != nil {
		return err
	}
	put := &settings.Put{Path: path, Value: jsonValue(c.Args.Value)}
	if err := put.Check(); err != nil {
		return err
	}
	return c.session.propose(ledger.KindSetting, c.Base, put)
}

// jsonValue takes a number as it is and anything else as a string.
func jsonValue(s string) settings.Value {
	var n float64
	if json.Unmarshal([]byte(s), &n) == nil {
		return settings.Value{RawMessage: json.RawMessage(s)}
	}
	return settings.Value{RawMessage: json.RawMessage(fmt.Sprintf("%q", s))}
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
