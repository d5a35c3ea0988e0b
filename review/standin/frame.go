package standin

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

var errFrame = errors.New("not an array of bulk strings")

// readFrame reads an array of bulk strings.
func readFrame(r *bufio.Reader) ([]string, error) {
	count, err := readHeader(r, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, 0, count)
	for range count {
		length, err := readHeader(r, '$')
		if err != nil {
			return nil, err
		}
		text := make([]byte, length+2)
		if _, err := io.ReadFull(r, text); err != nil {
			return nil, err
		}
		words = append(words, string(text[:length]))
	}
	return words, nil
}

func readHeader(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line == "" || line[0] != kind {
		return 0, errFrame
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// frame encodes an array of bulk strings.
func frame(words ...string) []byte {
	text := []byte("*" + strconv.Itoa(len(words)) + "\r\n")
	for _, word := range words {
		text = append(text, "$"+strconv.Itoa(len(word))+"\r\n"+word+"\r\n"...)
	}
	return text
}

// parseFields parses a list of the form name=value,name=value.
func parseFields(list string) map[string]string {
	fields := map[string]string{}
	for part := range strings.SplitSeq(list, ",") {
		if name, value, found := strings.Cut(part, "="); found {
			fields[name] = value
		}
	}
	return fields
}
