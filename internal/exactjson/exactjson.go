// Package exactjson decodes JSON from outside: from users, workers, the cloud, the state
// service and the settings. All decoders of the program use it, so that they agree on which
// value a name has:
//
//   - A name stands for a field only if it is equal to the field's name, byte for byte.
//     Other names are unknown and are ignored, also those that differ only by case.
//   - If an object has a name more than once, its last value counts, and nothing of the others
//     is left. A value that doesn't fit its field is an error, even if another one follows.
//   - A null sets the field's zero value.
package exactjson

import (
	"errors"
	"reflect"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// withoutRepeats are the options for documents without repeated names, which is nearly all of
// them. Text that isn't UTF-8 is accepted, with U+FFFD in place of each invalid byte, as
// earlier versions accepted it.
var withoutRepeats = jsontext.AllowInvalidUTF8(true)

// withRepeats are the options for documents with repeated names. They cost a function call and
// an allocation for each value.
var withRepeats = json.JoinOptions(
	withoutRepeats,
	jsontext.AllowDuplicateNames(true),
	json.WithUnmarshalers(json.UnmarshalFromFunc(resetBeforeDecoding)),
)

// resetBeforeDecoding sets a value to zero before the library decodes into it. Without that, an
// object would be merged into the earlier one of the same name.
func resetBeforeDecoding(_ *jsontext.Decoder, value any) error {
	reset(value)
	return errors.ErrUnsupported // let the library decode
}

// reset sets the value that target points to to zero.
func reset(target any) { reflect.ValueOf(target).Elem().SetZero() }

// Value is a JSON value that has not been decoded.
type Value = jsontext.Value

// TypeError says that a value is not of the type that its field needs.
type TypeError struct {
	Field string // names and indexes separated by dots, for instance "others.0.node_name"
	Want  string // Go type of the field
	Got   string // kind of the JSON value
}

// Error names the field, the type that it needs and the kind of the value.
func (e *TypeError) Error() string { return e.Field + ": want " + e.Want + ", not a JSON " + e.Got }

// Unmarshal decodes data into the value that target points to. Its error is a *TypeError if
// data is JSON but the value of a field has another type than the field. After an error, the
// content of target is undefined.
func Unmarshal(data []byte, target any) error {
	reset(target)
	err := json.Unmarshal(data, target, withoutRepeats)
	if errors.Is(err, jsontext.ErrDuplicateName) {
		err = json.Unmarshal(data, target, withRepeats)
	}
	semantic, ok := errors.AsType[*json.SemanticError](err)
	if !ok || semantic.GoType == nil || semantic.JSONPointer == "" {
		return err
	}
	field := strings.ReplaceAll(strings.TrimPrefix(string(semantic.JSONPointer), "/"), "/", ".")
	return &TypeError{Field: field, Want: semantic.GoType.String(), Got: kindName(semantic.JSONKind)}
}

// kindName is the name of a kind of JSON values.
func kindName(kind jsontext.Kind) string {
	switch kind {
	case jsontext.KindBeginObject:
		return "object"
	case jsontext.KindBeginArray:
		return "array"
	}
	return kind.String()
}
