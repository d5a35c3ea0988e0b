package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
)

// frameReader reads RESP arrays of bulk strings.
type frameReader = bufio.Reader

func newFrameReader(connection net.Conn) *frameReader { return bufio.NewReaderSize(connection, 64<<10) }

var errFrame = errors.New("not an array of bulk strings")

// frame encodes words as an array of bulk strings.
func frame(words ...string) []byte {
	encoded := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, word := range words {
		encoded = fmt.Appendf(encoded, "$%d\r\n%s\r\n", len(word), word)
	}
	return encoded
}

// readFrame reads an array of bulk strings.
func readFrame(reader *frameReader) ([]string, error) {
	count, err := readLength(reader, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, count)
	for i := range words {
		length, err := readLength(reader, '$')
		if err != nil {
			return nil, err
		}
		text := make([]byte, length+2)
		if _, err := io.ReadFull(reader, text); err != nil {
			return nil, err
		}
		words[i] = string(text[:length])
	}
	return words, nil
}

func readLength(reader *frameReader, kind byte) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("%w: %q", errFrame, line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// parseFields parses a list of the form name=value,name=value.
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		fields[name] = value
	}
	return fields
}

// The words of the protocol's pages that the stand-ins use.
const (
	wordFetch = "fetch"
	wordAbort = "abort"
	wordOK    = "200"
	wordMiss  = "404"
	wordFull  = "503"
	wordError = "500"

	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

// target is an entry of the list of servers, in the form of the platform.
type target struct {
	UID      string  `json:"uid"`
	Address  string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

// listEvent returns an event of the list, without its number.
func listEvent(isWhole bool, targets ...target) map[string]any {
	return map[string]any{"roster": map[string]any{"rev": 1, "all": isWhole, "targets": targets}}
}

// groupPurgeEvent returns an event that purges a group, without its number.
func groupPurgeEvent(group int, issuedMS int64) map[string]any {
	return map[string]any{"recall": map[string]any{"lot": group, "issued": issuedMS}}
}
