package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// describeJSONError says what is wrong with a JSON text, and where: its line and column, or the path of the value.
func describeJSONError(what string, text []byte, err error) error {
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxError):
		before := text[:max(0, min(int(syntaxError.Offset)-1, len(text)))]
		line := 1 + bytes.Count(before, []byte{'\n'})
		column := len(before) - bytes.LastIndexByte(before, '\n')
		return fmt.Errorf("%s: line %d, column %d: %w", what, line, column, err)
	case errors.As(err, &typeError):
		return fmt.Errorf("%s.%s: a %s where a value of type %s belongs",
			what, typeError.Field, typeError.Value, typeError.Type)
	}
	return fmt.Errorf("%s: %w", what, err)
}
