package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// describeJSONError returns an error that locates a JSON error in text: by line and column, or by the path of the value
// below root.
func describeJSONError(root string, text []byte, err error) error {
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxError):
		before := text[:max(0, min(int(syntaxError.Offset)-1, len(text)))]
		line := 1 + bytes.Count(before, []byte{'\n'})
		column := len(before) - bytes.LastIndexByte(before, '\n')
		return fmt.Errorf("%s: line %d, column %d: %w", root, line, column, err)
	case errors.As(err, &typeError):
		return fmt.Errorf("%s.%s: a %s where a value of type %s belongs",
			root, typeError.Field, typeError.Value, typeError.Type)
	}
	return fmt.Errorf("%s: %w", root, err)
}
