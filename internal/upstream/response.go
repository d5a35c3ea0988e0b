package upstream

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/engine"
	"fennelarch/internal/resp"
	"fennelarch/policy/routing"
)

// The strings of a response frame, in order.
const (
	responseID = iota
	responseStatus
	responseFields
	responseBodyIndex
)

// readBuffer returns the buffer for the next read. The caller passes the number of bytes read to handleRead. The buffer
// is empty while there is no memory for the body of a response; handleRead then asks again.
func (s *session) readBuffer() []byte { return s.decoder.Buffer(&s.input) }

// handleRead handles n bytes that were read into readBuffer. After an error, nothing more on the connection can be
// trusted.
func (s *session) handleRead(n int, now time.Time) error {
	s.decoder.Commit(&s.input, n)
	for {
		response, err := s.decoder.Next(&s.input)
		if err != nil {
			s.input.Shrink()
			return fmt.Errorf("read response: %w", err)
		}
		if response == nil {
			s.input.Shrink()
			return nil
		}
		s.responses++
		s.hasSilentAbort = false
		err = s.handleResponse(response, now)
		s.releaseBody()
		if err != nil {
			return err
		}
	}
}

// handleResponse handles one complete response. A request id has 16 digits, the tag of a health check fewer.
func (s *session) handleResponse(response [][]byte, now time.Time) error {
	if len(response) <= responseStatus {
		return &responseError{problem: problemNoStatus}
	}
	id, status := string(response[responseID]), string(response[responseStatus])
	result := engine.AttemptResult{}
	if len(response) > responseFields {
		s.parseFields(response[responseFields], &result)
	}
	if len(id) < requestIDDigits {
		return s.handleHealthResponse(id, status, result.LoadReport, now)
	}
	number, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return newResponseError(id, problemBadID, err)
	}
	requestID := engine.ClientRequestID(number)
	sent, isInFlight := s.inFlight[requestID]
	if !isInFlight {
		s.recent.recordLateResponse(requestID)
		return nil
	}
	var isKnown bool
	if result.Outcome, isKnown = outcomesByStatus[status]; !isKnown {
		return newResponseError(id, problemUnknownStatus, nil)
	}
	result.Attempt, result.NotModified = sent.attempt, status == statusNotModified
	if heldETag := sent.attempt.Request.HeldETag; result.NotModified && (heldETag == "" || result.ETag != heldETag) {
		return newResponseError(id, problemOtherETag, nil) // the server must name the client's copy
	}
	if status == statusOK {
		if len(response) <= responseBodyIndex {
			return newResponseError(id, problemNoBody, nil)
		}
		result.Body = s.bodyOf(response)
	}
	delete(s.inFlight, requestID)
	s.recent.add(requestID, recentUse{endedAt: now}, s.limits.ForgetAfter)
	s.finish(result, sent.server.Endpoint)
	return nil
}

// handleHealthResponse handles the answer to a health check.
func (s *session) handleHealthResponse(id, status string, report routing.LoadReport, now time.Time) error {
	tag, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return newResponseError(id, problemBadID, err)
	}
	check, isInFlight := s.checks[tag]
	if !isInFlight {
		return nil
	}
	outcome, isKnown := outcomesByHealthStatus[status]
	if !isKnown {
		return newResponseError(id, problemUnknownStatus, nil)
	}
	delete(s.checks, tag)
	s.results = append(s.results, engine.HealthCheckResult{
		Endpoint:   check.endpoint,
		Outcome:    outcome,
		Elapsed:    now.Sub(check.sentAt),
		LoadReport: report,
	})
	return nil
}

// parseFields parses the fields of a response into a result. It ignores unknown fields.
func (s *session) parseFields(fields []byte, result *engine.AttemptResult) {
	for len(fields) > 0 {
		var name, value []byte
		name, value, fields = resp.Field(fields)
		switch string(name) {
		case fieldNote:
			result.Note = notesByWord[string(value)]
		case fieldETag:
			result.ETag = string(value)
		case fieldGeneratedAt:
			if ms := int64(parseNumber(value)); ms > 0 {
				result.GeneratedAt = time.UnixMilli(ms)
			}
		case fieldFirstByteWait:
			result.FirstByteWait = config.Milliseconds(parseNumber(value))
		case fieldLoadReport:
			result.LoadReport = s.parseLoadReport(value)
		}
	}
}

// parseLoadReport parses the columns of a load report, up to the first that is missing.
func (s *session) parseLoadReport(text []byte) (report routing.LoadReport) {
	columns := s.names.reportColumns
	for _, column := range columns[:min(len(columns), len(report.Values))] {
		_, rest, isFound := bytes.Cut(append([]byte{';'}, text...), []byte(";"+column+":"))
		if !isFound {
			break
		}
		value, _, _ := bytes.Cut(rest, []byte{';'})
		report.Values[report.Count] = parseNumber(value)
		report.Count++
	}
	return report
}

// parseNumber returns the number in a text, or 0 if the text is not a number.
func parseNumber(text []byte) float64 {
	number, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(number) {
		return 0
	}
	return number
}
