package wire

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// glossaryRow matches a row of the table in the package's comment: a JSON name, its Go names
// with commas between, and the term.
var glossaryRow = regexp.MustCompile(`(?m)^//\t(\S+) +([A-Z]\w*(?:, [A-Z]\w*)*) +\S`)

// messageTypes are all types with struct tags; those within them are reached through fields.
var messageTypes = []reflect.Type{
	reflect.TypeFor[Job](), reflect.TypeFor[submission](), reflect.TypeFor[JobStatus](), reflect.TypeFor[ErrorResponse](),
	reflect.TypeFor[Heartbeat](), reflect.TypeFor[HeartbeatResponse](), reflect.TypeFor[CommandRequest](), reflect.TypeFor[Redirect](),
	reflect.TypeFor[MachineTypeList](), reflect.TypeFor[ScaleOutRequest](), reflect.TypeFor[MachineIDs](), reflect.TypeFor[MachineList](),
	reflect.TypeFor[KeyPage](), reflect.TypeFor[Transaction](), reflect.TypeFor[TransactionResult](), reflect.TypeFor[WatchResponse](),
	reflect.TypeFor[LeaseRequest](), reflect.TypeFor[LeaseGrant](),
}

// collectJSONNames adds the JSON names of a struct's fields, and of structs within, to their Go names.
func collectJSONNames(structType reflect.Type, goNames map[string][]string) {
	for i := range structType.NumField() {
		field := structType.Field(i)
		jsonName, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if !slices.Contains(goNames[jsonName], field.Name) {
			goNames[jsonName] = append(goNames[jsonName], field.Name)
		}
		if field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct {
			collectJSONNames(field.Type.Elem(), goNames)
		}
	}
}

// The table in the package's comment has every JSON name that differs from its Go name, with
// all its Go names, each once and in order, and nothing else.
func TestGlossaryListsEveryJSONName(t *testing.T) {
	document, err := os.ReadFile("doc.go")
	if err != nil {
		t.Fatal(err)
	}
	want := map[string][]string{}
	for _, messageType := range messageTypes {
		collectJSONNames(messageType, want)
	}
	for jsonName, goNames := range want {
		slices.Sort(goNames)
		if len(goNames) == 1 && strings.EqualFold(jsonName, goNames[0]) {
			delete(want, jsonName)
		}
	}
	got := map[string][]string{}
	var order []string
	for _, row := range glossaryRow.FindAllStringSubmatch(string(document), -1) {
		got[row[1]] = strings.Split(row[2], ", ")
		order = append(order, row[1])
	}
	if !slices.IsSorted(order) || len(order) != len(got) {
		t.Errorf("rows are doubled or not in order: %v", order)
	}
	for jsonName, goNames := range want {
		if !slices.Equal(got[jsonName], goNames) {
			t.Errorf("%s stands for %v, the table has %v", jsonName, goNames, got[jsonName])
		}
	}
	for jsonName := range got {
		if want[jsonName] == nil {
			t.Errorf("the table has %s, which no field has", jsonName)
		}
	}
}
