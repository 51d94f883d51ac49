package ledger

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
)

// Guards against tables of the state that are missing in snapshots.
func TestTablesAreListed(t *testing.T) {
	is := is.New(t)
	s := NewState()
	listed := make(map[any]bool)
	names := make(map[string]bool)
	for _, table := range s.tables() {
		listed[reflect.ValueOf(table).Pointer()] = true
		is.True(!names[table.name()]) // names are unique
		names[table.name()] = true
	}
	v := reflect.ValueOf(s).Elem()
	kind := reflect.TypeFor[stateTable]()
	for i := range v.NumField() {
		if v.Field(i).Type().Implements(kind) {
			is.True(listed[v.Field(i).Pointer()]) // every table is in State.tables
		}
	}
}
