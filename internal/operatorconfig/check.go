package operatorconfig

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Schema is the JSON schema of the operator's file.
//
//go:embed schema.json
var Schema []byte

const schemaName = "operator.json"

// checkSchema returns an error that locates the first violation of the schema.
func checkSchema(text []byte, document any) error {
	err := validate(document)
	var violation *jsonschema.ValidationError
	if errors.As(err, &violation) {
		return describeViolation(text, violation)
	}
	return err
}

func validate(document any) error {
	definition, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		return err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaName, definition); err != nil {
		return err
	}
	schema, err := compiler.Compile(schemaName)
	if err != nil {
		return err
	}
	return schema.Validate(document)
}

// describeViolation returns an error with the location and description of the first violation in the text.
func describeViolation(text []byte, violation *jsonschema.ValidationError) error {
	for len(violation.Causes) > 0 {
		violation = slices.MinFunc(violation.Causes, func(first, second *jsonschema.ValidationError) int {
			return offsetOf(text, first.InstanceLocation) - offsetOf(text, second.InstanceLocation)
		})
	}
	path := violation.InstanceLocation
	if extra, isExtra := violation.ErrorKind.(*kind.AdditionalProperties); isExtra && len(extra.Properties) > 0 {
		path = append(slices.Clone(path), extra.Properties[0])
		return fmt.Errorf("%s: there is no such setting", locate(text, path...))
	}
	description := violation.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return fmt.Errorf("%s: %s", locate(text, path...), description)
}

// checkAdmission returns an error if admission limits contradict each other.
func (f *File) checkAdmission(text []byte) error {
	limits := f.Admission
	if limits == nil {
		return nil
	}
	locate := func(keys ...string) string { return locate(text, append([]string{"admission"}, keys...)...) }
	seen := map[string]int{}
	for i, known := range limits.KnownClients {
		if earlier, isSeen := seen[known]; isSeen {
			return fmt.Errorf("%s: %q is there twice, at %d too", locate("known", strconv.Itoa(i)), known, earlier)
		}
		seen[known] = i
	}
	isAnyClientKnown := len(limits.KnownClients) > 0 || f.TLS != nil && f.TLS.ClientCAFile != "" ||
		limits.MaxRemembered != 1
	switch {
	case limits.ReservedConnections > 0 && !isAnyClientKnown:
		return fmt.Errorf("%s: a reserve for known clients, but nobody can be known", locate("reserve"))
	case limits.Burst > 0 && limits.NewConnectionsPerSecond <= 0:
		return fmt.Errorf("%s: a burst of new connections has no meaning without new_per_s", locate("burst"))
	case limits.RequestsPerAddress > 0 && limits.Requests > 0 && limits.RequestsPerAddress > limits.Requests:
		return fmt.Errorf("%s: one address may have more open views than all together", locate("views_per_address"))
	}
	return nil
}
