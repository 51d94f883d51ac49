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

// baseOption is the option of commands that change an entity: the revision that the change
// is based on.
type baseOption struct {
	Base uint64 `long:"base" value-name:"REVISION" description:"revision that the change is based on; 0 makes a new thing"`
}

// validator is a value that can validate itself.
type validator interface{ Check() error }

// propose validates a change, sends it and prints the verdict.
func (s *session) propose(kind ledger.Kind, base uint64, body validator) error {
	if err := body.Check(); err != nil {
		return usageError(err)
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	outcome, err := c.Command(background(), kind, fleet.Revision(base), body)
	if err != nil {
		return err
	}
	return s.printTable(outcome, "VERDICT\tOFFSET\tREVISION", []string{joinCells("accepted", outcome.Offset, outcome.Revision)})
}

type secretCommand struct{ session *session }

// Execute prints a new random secret and its hash.
func (c *secretCommand) Execute([]string) error {
	secret := fleet.NewSecret()
	hash, err := secret.Hash().MarshalText()
	if err != nil {
		return err
	}
	v := printedSecret{Secret: string(secret), Hash: string(hash)}
	return c.session.printTable(v, "SECRET\tHASH", []string{joinCells(v.Secret, v.Hash)})
}

// printedSecret is the output of the commands that create a secret, which is printed only once.
type printedSecret struct {
	ID     string `json:"id,omitempty"`
	Secret string `json:"secret"`
	Hash   string `json:"hash,omitempty"`
}

type putTeam struct {
	session *session
	baseOption
	Name string `long:"name" description:"name for people"`
	Args struct {
		Team string `positional-arg-name:"TEAM"`
	} `positional-args:"true" required:"true"`
}

// Execute proposes to create or change the team.
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

// Execute generates the secret locally and proposes its hash, so that the secret leaves the
// process only on standard output.
func (c *createKey) Execute([]string) error {
	secret := fleet.NewSecret()
	key := &fleet.Key{ID: fleet.KeyID(c.Args.Key), Team: fleet.TeamID(c.Args.Team), Hash: secret.Hash()}
	if err := key.Check(); err != nil {
		return usageError(err)
	}
	cl, err := c.session.client()
	if err != nil {
		return err
	}
	if _, err := cl.Command(background(), ledger.KindKey, 0, key); err != nil {
		return err
	}
	v := printedSecret{ID: c.Args.Key, Secret: string(secret)}
	return c.session.printTable(v, "KEY\tSECRET (shown once)", []string{joinCells(v.ID, v.Secret)})
}

type withdrawKey struct {
	session *session
	Args    struct {
		Key string `positional-arg-name:"KEY-ID"`
	} `positional-args:"true" required:"true"`
}

// Execute withdraws the key and prints the VMs on which the withdrawal is effective. If the log
// is unreachable the withdrawal is still effective on these, but Execute returns an error with
// the exit code for unavailable.
func (c *withdrawKey) Execute([]string) error {
	if err := fleet.CheckID("key", c.Args.Key); err != nil {
		return usageError(err)
	}
	cl, err := c.session.client()
	if err != nil {
		return err
	}
	outcome, err := cl.Command(background(), ledger.KindWithdraw, 0, &ledger.Withdrawal{Key: fleet.KeyID(c.Args.Key)})
	if err != nil {
		return err
	}
	if err := c.printOutcome(outcome); err != nil {
		return err
	}
	if outcome.NotLogged {
		return fault.New(fault.StoreUnavailable, "the log cannot be reached: key %q is refused on the VMs above, but its withdrawal is not yet in the log; the VMs go on trying to write it and to tell the others", c.Args.Key)
	}
	return nil
}

func (c *withdrawKey) printOutcome(outcome operator.Outcome) error {
	offset := fmt.Sprint(outcome.Offset)
	if outcome.NotLogged {
		offset = "not yet in the log"
	}
	reach := keyring.Reach{}
	if outcome.Reach != nil {
		reach = *outcome.Reach
	}
	rows := []string{joinCells(c.Args.Key, offset, joinIDs(reach.Informed), joinIDs(reach.Missed))}
	return c.session.printTable(outcome, "KEY\tOFFSET\tREFUSED ON\tNOT REACHED YET", rows)
}

// joinIDs joins ids by commas. It returns a hyphen if there are none.
func joinIDs(ids []fleet.VMID) string {
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
	baseOption
	Version string `long:"version" default:"v1" description:"version of the weights"`
	Size    int64  `long:"size" required:"true" value-name:"BYTES" description:"accelerator memory of the weights"`
	Args    struct {
		Model string `positional-arg-name:"MODEL"`
	} `positional-args:"true" required:"true"`
}

// Execute proposes to create or change the model.
func (c *putModel) Execute([]string) error {
	return c.session.propose(ledger.KindModel, c.Base, &fleet.Model{ID: fleet.ModelID(c.Args.Model), Version: c.Version, Size: fleet.Bytes(c.Size)})
}

type putAdapter struct {
	session *session
	baseOption
	Model string `long:"model" required:"true" description:"base model"`
	Size  int64  `long:"size" required:"true" value-name:"BYTES" description:"accelerator memory of the adapter"`
	Args  struct {
		Adapter string `positional-arg-name:"ADAPTER"`
	} `positional-args:"true" required:"true"`
}

// Execute proposes to create or change the adapter.
func (c *putAdapter) Execute([]string) error {
	return c.session.propose(ledger.KindAdapter, c.Base, &fleet.Adapter{ID: fleet.AdapterID(c.Args.Adapter), Model: fleet.ModelID(c.Model), Size: fleet.Bytes(c.Size)})
}

type putRoute struct {
	session *session
	baseOption
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

// Execute proposes to create or change the route.
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
	baseOption
	Args struct {
		Path  string `positional-arg-name:"LEVEL:NAME"`
		Value string `positional-arg-name:"VALUE"`
	} `positional-args:"true" required:"true"`
}

// Execute proposes the new value of the setting.
func (c *setSetting) Execute([]string) error {
	path, err := settings.ParsePath(c.Args.Path)
	if err != nil {
		return usageError(err)
	}
	return c.session.propose(ledger.KindSetting, c.Base, &settings.Put{Path: path, Value: jsonValue(c.Args.Value)})
}

// jsonValue returns s as JSON: unchanged if it is a number, else as a string.
func jsonValue(s string) settings.Value {
	var n float64
	if json.Unmarshal([]byte(s), &n) == nil {
		return settings.Value{RawMessage: json.RawMessage(s)}
	}
	// Encoding a string cannot fail.
	b, _ := json.Marshal(s)
	return settings.Value{RawMessage: b}
}

type putOperator struct {
	session *session
	baseOption
	Access   string `long:"access" default:"read" choice:"read" choice:"write" description:"what the operator may do"`
	Disabled bool   `long:"disabled" description:"refuse the operator from now on"`
	Args     struct {
		Operator string `positional-arg-name:"OPERATOR"`
	} `positional-args:"true" required:"true"`
}

// Execute proposes to create or change the operator, generates a new credential and prints it.
func (c *putOperator) Execute([]string) error {
	secret := fleet.NewSecret()
	op := &ledger.Operator{ID: fleet.OperatorID(c.Args.Operator), Hash: secret.Hash(), Access: ledger.Access(c.Access), Disabled: c.Disabled}
	if err := fleet.CheckID("operator", op.ID); err != nil {
		return usageError(err)
	}
	cl, err := c.session.client()
	if err != nil {
		return err
	}
	if _, err := cl.Command(background(), ledger.KindOperator, fleet.Revision(c.Base), op); err != nil {
		return err
	}
	v := printedSecret{ID: c.Args.Operator, Secret: string(secret)}
	return c.session.printTable(v, "OPERATOR\tCREDENTIAL (shown once)", []string{joinCells(v.ID, v.Secret)})
}
