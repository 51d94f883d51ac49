// Package operator is the operators' listener: commands, which change the
// ordered state, and queries, which only read, apart from each other.
//
// Operators show a credential of their own. The hash of the first one is in
// the settings file of the process; the others are in the ordered state, with
// read or write access.
package operator

import (
	"expvar"
	"net/http"

	"github.com/labstack/echo/v4"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/httpx"
	"toucanfall/ledger"
)

// First is the operator whose credential is in the settings file.
const FirstOperator fleet.OperatorID = "first"

// Operators finds operators in the ordered state.
type Operators interface {
	OperatorByHash(h fleet.KeyHash) (ledger.Operator, bool)
}

// Server serves operators.
type Server struct {
	first     fleet.KeyHash
	operators Operators
	commands  *Commands
	queries   *Queries
	echo      *echo.Echo
}

// New returns a server over commands and queries.
func New(first fleet.KeyHash, operators Operators, commands *Commands, queries *Queries) *Server {
	s := &Server{first: first, operators: operators, commands: commands, queries: queries, echo: httpx.NewEcho()}
	s.echo.POST("/v1/commands/:kind", s.allow(ledger.AccessWrite, commands.serve))
	s.echo.GET("/v1/queries/:name", s.allow(ledger.AccessRead, queries.serve))
	s.echo.GET("/debug/vars", s.allow(ledger.AccessRead, echo.WrapHandler(expvar.Handler())))
	return s
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	return s.echo
}

// contextOperator is the key of the operator in an echo context.
const contextOperator = "operator"

// allow admits operators with the given access.
func (s *Server) allow(access ledger.Access, next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		op, err := s.authenticate(c.Request().Header.Get(echo.HeaderAuthorization))
		if err != nil {
			return err
		}
		if access == ledger.AccessWrite && op.Access != ledger.AccessWrite {
			return fault.New(fault.Forbidden, "operator %q may only read", op.ID)
		}
		c.Set(contextOperator, op.ID)
		return next(c)
	}
}

func (s *Server) authenticate(header string) (ledger.Operator, error) {
	secret, ok := fleet.ParseBearer(header)
	if !ok {
		return ledger.Operator{}, fault.New(fault.Unauthenticated, "the Authorization header must be \"Bearer CREDENTIAL\"")
	}
	hash := secret.Hash()
	if hash.Equal(s.first) {
		return ledger.Operator{ID: FirstOperator, Access: ledger.AccessWrite}, nil
	}
	op, ok := s.operators.OperatorByHash(hash)
	if !ok || op.Disabled {
		return ledger.Operator{}, fault.New(fault.Unauthenticated, "the operator's credential is not known")
	}
	return op, nil
}
