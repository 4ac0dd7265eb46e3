package console

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/jacinthstall/jacinthstall/finding"
)

// input is one field of a form.
type input struct {
	Name  string // JSON name of the field.
	Type  string // HTML type: text, number or checkbox.
	Value string
}

// Checked reports whether a checkbox is set.
func (i input) Checked() bool { return i.Value == "true" }

const listSeparator = ", "

// formInputs returns the fields of a struct as a form shows them.
func formInputs(v reflect.Value) []input {
	var out []input
	for _, f := range finding.Fields(v.Type()) {
		field := v.Field(f.Index)
		in := input{Name: f.Name, Type: "text", Value: fmt.Sprint(field.Interface())}
		switch field.Kind() {
		case reflect.Bool:
			in.Type = "checkbox"
		case reflect.Int:
			in.Type = "number"
		case reflect.Slice:
			in.Value = strings.Join(field.Interface().([]string), listSeparator)
		}
		out = append(out, in)
	}
	return out
}

// decodeForm stores the values of a form in a struct. Values that are not of the
// field's type are reported together.
func decodeForm(v reflect.Value, value func(name string) string) error {
	var wrong []string
	for _, f := range finding.Fields(v.Type()) {
		if err := decodeField(v.Field(f.Index), strings.TrimSpace(value(f.Name))); err != nil {
			wrong = append(wrong, f.Name+" "+err.Error())
		}
	}
	if len(wrong) > 0 {
		return &pageError{status: 422, message: strings.Join(wrong, "; ")}
	}
	return nil
}

func decodeField(field reflect.Value, text string) error {
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
	case reflect.Bool:
		field.SetBool(text == "true")
	case reflect.Int:
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("must be a whole number, not %q", text)
		}
		field.SetInt(int64(n))
	case reflect.Slice:
		field.Set(reflect.ValueOf(splitList(text)))
	}
	return nil
}

func splitList(text string) []string {
	out := []string{}
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}
