package wire

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// glossaryRow matches a row of the table in the package comment: a JSON name, its Go names separated
// by commas, and the term.
var glossaryRow = regexp.MustCompile(`(?m)^//\t(\S+) +([A-Z]\w*(?:, [A-Z]\w*)*) +\S`)

// messageTypes are the message types that aren't contained in another message. collectJSONNames finds
// the contained types through their fields.
var messageTypes = []reflect.Type{
	reflect.TypeFor[Job](), reflect.TypeFor[submission](), reflect.TypeFor[JobStatus](), reflect.TypeFor[ErrorResponse](),
	reflect.TypeFor[Heartbeat](), reflect.TypeFor[HeartbeatResponse](), reflect.TypeFor[CommandRequest](), reflect.TypeFor[Redirect](),
	reflect.TypeFor[MachineTypeList](), reflect.TypeFor[ScaleOutRequest](), reflect.TypeFor[MachineIDs](), reflect.TypeFor[MachineList](),
	reflect.TypeFor[KeyPage](), reflect.TypeFor[Transaction](), reflect.TypeFor[TransactionResult](), reflect.TypeFor[WatchResponse](),
	reflect.TypeFor[LeaseRequest](), reflect.TypeFor[LeaseGrant](),
}

// collectJSONNames adds the names of a struct's fields, and of the fields of structs that it contains
// in slices, to goNames, which maps each JSON name to its Go names.
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

// The table in the package comment lists exactly the JSON names that differ from their Go name by more
// than case, each once, in alphabetical order and with all its Go names.
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
		t.Errorf("got rows %v, want them sorted by JSON name and without duplicates", order)
	}
	for jsonName, goNames := range want {
		if !slices.Equal(got[jsonName], goNames) {
			t.Errorf("JSON name %s: want Go names %v, got %v in the table", jsonName, goNames, got[jsonName])
		}
	}
	for jsonName := range got {
		if want[jsonName] == nil {
			t.Errorf("the table lists JSON name %s, but no field has that name or it equals the Go name", jsonName)
		}
	}
}
