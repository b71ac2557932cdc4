package exactjson

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

type inner struct {
	A int `json:"a"`
	B int `json:"b"`
}

type outer struct {
	Object  inner            `json:"object"`
	Pointer *inner           `json:"pointer"`
	Map     map[string]inner `json:"map"`
	List    []inner          `json:"list"`
	Text    string           `json:"text"`
	Raw     Value            `json:"raw"`
}

// TestNamesMatchExactly guards against names that are taken for a known one although they
// differ by case, or by letters beyond ASCII that fold to it, at any depth.
func TestNamesMatchExactly(t *testing.T) {
	const known = `"object":{"a":1,"b":2},"list":[{"a":3}],"text":"x","map":{"k":{"a":4}}`
	var want outer
	if err := Unmarshal([]byte("{"+known+"}"), &want); err != nil {
		t.Fatal(err)
	}
	for _, field := range []string{
		`"Object":{"a":9}`, `"TEXT":"y"`, `"Text":7`, `"teXt":null`, `"Map":{}`, `"lisT":[]`, `"liſt":[]`, `"li\u017ft":7`, `"text ":"y"`, `"text\u0000":"y"`,
	} {
		for _, document := range []string{"{" + field + "," + known + "}", "{" + known + "," + field + "}"} {
			var got outer
			if err := Unmarshal([]byte(document), &got); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("%s: got %+v, error %v, want %+v", document, got, err, want)
			}
		}
	}
	for _, document := range []string{`{"object":{"a":1,"A":9,"b":2,"B":9}}`, `{"object":{"A":9,"a":1,"B":9,"b":2}}`} {
		var got outer
		if err := Unmarshal([]byte(document), &got); err != nil || got.Object != want.Object {
			t.Errorf("%s: got %+v, error %v, want %+v", document, got.Object, err, want.Object)
		}
	}
	var got outer
	if err := Unmarshal([]byte(`{"te\u0078t":"x"}`), &got); err != nil || got.Text != "x" {
		t.Errorf("name with an escape: got %q, error %v, want x", got.Text, err)
	}
}

// TestLastValueOfNameCounts guards against values that are merged with earlier ones of the
// same name.
func TestLastValueOfNameCounts(t *testing.T) {
	for _, c := range []struct{ document, same string }{
		{`{"object":{"a":1},"object":{"b":2}}`, `{"object":{"b":2}}`},
		{`{"object":{"a":1},"object":null}`, `{}`},
		{`{"object":{"a":1,"a":2}}`, `{"object":{"a":2}}`},
		{`{"pointer":{"a":1},"pointer":{"b":2}}`, `{"pointer":{"b":2}}`},
		{`{"pointer":{"a":1},"pointer":null}`, `{}`},
		{`{"map":{"k":{"a":1}},"map":{"l":{"b":2}}}`, `{"map":{"l":{"b":2}}}`},
		{`{"map":{"k":{"a":1},"k":{"b":2}}}`, `{"map":{"k":{"b":2}}}`},
		{`{"list":[{"a":1},{"a":2}],"list":[{"b":3}]}`, `{"list":[{"b":3}]}`},
		{`{"text":"x","text":null}`, `{}`},
		{`{"text":"x","\u0074ext":"y"}`, `{"text":"y"}`},
		{`{"raw":{"a":1},"raw":[2]}`, `{"raw":[2]}`},
		{`{"unknown":1,"unknown":{"a":1,"a":2},"text":"x"}`, `{"text":"x"}`},
	} {
		got, want := outer{Text: "left from before"}, outer{}
		if err := Unmarshal([]byte(c.document), &got); err != nil {
			t.Errorf("%s: %v", c.document, err)
		}
		if err := Unmarshal([]byte(c.same), &want); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want the same as for %s: %+v", c.document, got, c.same, want)
		}
	}
}

// TestErrors checks which documents are refused, and that a wrong type is reported with the
// path of its field.
func TestErrors(t *testing.T) {
	for _, document := range []string{``, `{`, `{"text":"x"} {}`, `{"text":"x",}`, `[` + strings.Repeat("[", 20_000), `{"unknown":` + strings.Repeat("[", 20_000)} {
		var got outer
		typeErr, isTypeError := errors.AsType[*TypeError](Unmarshal([]byte(document), &got))
		if Unmarshal([]byte(document), &got) == nil || isTypeError && typeErr.Field != "" {
			t.Errorf("%.20q: got no error, or one of a field, want one of the document", document)
		}
	}
	for document, want := range map[string]string{
		`{"text":1}`:                  "text: want string, not a JSON number",
		`{"object":{"a":"x"}}`:        "object.a: want int, not a JSON string",
		`{"object":{"a":1.5}}`:        "object.a: want int, not a JSON number",
		`{"list":[{"a":1},{"b":{}}]}`: "list.1.b: want int, not a JSON object",
	} {
		var got outer
		if err := Unmarshal([]byte(document), &got); err == nil || err.Error() != want {
			t.Errorf("%s: got error %v, want %s", document, err, want)
		}
	}
}
