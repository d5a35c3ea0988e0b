package operatorconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// separators are the bytes between two elements of a JSON array.
const separators = " \t\r\n,"

// locate names a part of a JSON text by its line and its path.
func locate(text []byte, path ...string) string {
	name := strings.Join(path, ".")
	if name == "" {
		name = "the whole"
	}
	return fmt.Sprintf("line %d: %s", lineOf(text, offsetOf(text, path)), name)
}

// lineOf is the number of the line that an offset is in.
func lineOf(text []byte, offset int) int {
	return 1 + bytes.Count(text[:min(offset, len(text))], []byte{'\n'})
}

// syntaxErrorOffset is where a JSON text has its syntax error, its end where the error does not say.
func syntaxErrorOffset(text []byte, err error) int {
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		return int(syntaxError.Offset)
	}
	return len(text)
}

// offsetOf is where the value at a path begins. Where the text has only the first steps of the path, it is the offset
// of the last of these.
func offsetOf(text []byte, path []string) int {
	decoder := json.NewDecoder(bytes.NewReader(text))
	offset := 0
	for _, step := range path {
		token, err := decoder.Token()
		if err != nil {
			return offset
		}
		isFound := false
		switch token {
		case json.Delim('{'):
			isFound = skipToKey(decoder, step)
		case json.Delim('['):
			isFound = skipToIndex(decoder, step)
		}
		if !isFound {
			return offset
		}
		offset = int(decoder.InputOffset())
		if token == json.Delim('[') {
			offset = skipSeparators(text, offset)
		}
	}
	return offset
}

// skipToKey reads an object up to the value of a key.
func skipToKey(decoder *json.Decoder, key string) (isFound bool) {
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return false
		}
		if name == key {
			return true
		}
		if decoder.Decode(new(json.RawMessage)) != nil {
			return false
		}
	}
	return false
}

// skipToIndex reads an array up to an element, or to its end.
func skipToIndex(decoder *json.Decoder, index string) (isFound bool) {
	count, _ := strconv.Atoi(index)
	for ; count > 0 && decoder.More(); count-- {
		if decoder.Decode(new(json.RawMessage)) != nil {
			return false
		}
	}
	return true
}

func skipSeparators(text []byte, offset int) int {
	for offset < len(text) && strings.IndexByte(separators, text[offset]) >= 0 {
		offset++
	}
	return offset
}
