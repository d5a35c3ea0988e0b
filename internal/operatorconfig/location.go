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

// locate describes a part of a JSON text by its line and its path.
func locate(text []byte, path ...string) string {
	name := strings.Join(path, ".")
	if name == "" {
		name = "the whole"
	}
	return fmt.Sprintf("line %d: %s", lineOf(text, offsetOf(text, path)), name)
}

// lineOf returns the number of the line that contains an offset.
func lineOf(text []byte, offset int) int {
	return 1 + bytes.Count(text[:min(offset, len(text))], []byte{'\n'})
}

// syntaxErrorOffset returns the offset of a syntax error in a JSON text, or the length of the text if the error has no
// offset.
func syntaxErrorOffset(text []byte, err error) int {
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		return int(syntaxError.Offset)
	}
	return len(text)
}

// offsetOf returns the offset of the value at a path. If the text lacks the path, the result is the offset of the
// longest part of the path that exists.
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

// skipToKey advances the decoder within an object to the value of a key.
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

// skipToIndex advances the decoder within an array to an element, or to the end of the array if it is too short.
func skipToIndex(decoder *json.Decoder, index string) (isFound bool) {
	count, _ := strconv.Atoi(index)
	for ; count > 0 && decoder.More(); count-- {
		if decoder.Decode(new(json.RawMessage)) != nil {
			return false
		}
	}
	return true
}

// skipSeparators returns the offset of the first byte that is not a separator, starting at offset.
func skipSeparators(text []byte, offset int) int {
	for offset < len(text) && strings.IndexByte(separators, text[offset]) >= 0 {
		offset++
	}
	return offset
}
