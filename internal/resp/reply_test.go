package resp

import (
	"fmt"
	"strings"
	"testing"
)

func newReplyDecoder() (ReplyDecoder, Ring) {
	return ReplyDecoder{MaxStringBytes: 64, MaxLineBytes: 40, MaxParts: 8}, Ring{MaxBytes: 128}
}

// Replies are returned complete however the input is split. A length beyond the limits is an error as soon as it is
// announced.
func Example_replies() {
	for _, text := range []string{
		"+OK\r\n", "-OOM no memory\r\n", ":-12\r\n", "$5\r\na\r\nbc\r\n", "$-1\r\n",
		"*2\r\n$1\r\na\r\n*1\r\n:3\r\n+PONG\r\n", "$65\r\n", "*9\r\n", "$1\r\nab\r\n", "!\r\n",
		"+" + strings.Repeat("x", 41), "$x\r\n", "*3\r\n*3\r\n*3\r\n",
	} {
		decoder, ring := newReplyDecoder()
		for i := range len(text) {
			ring.Append([]byte{text[i]})
			parts, err := decoder.Next(&ring)
			if err != nil {
				fmt.Printf("%.20q: %v\n", text, err)
				break
			}
			for _, part := range parts {
				fmt.Printf("%c %q %d %v; ", part.Kind, part.Text, part.Int, part.IsNull)
			}
			if parts != nil {
				fmt.Println("complete")
			}
		}
	}
	// Output:
	// + "OK" 0 false; complete
	// - "OOM no memory" 0 false; complete
	// : "-12" -12 false; complete
	// $ "a\r\nbc" 5 false; complete
	// $ "" -1 true; complete
	// * "2" 2 false; $ "a" 1 false; * "1" 1 false; : "3" 3 false; complete
	// + "PONG" 0 false; complete
	// "$65\r\n": malformed RESP2 message or length beyond the limit
	// "*9\r\n": malformed RESP2 message or length beyond the limit
	// "$1\r\nab\r\n": malformed RESP2 message or length beyond the limit
	// "!\r\n": malformed RESP2 message or length beyond the limit
	// "+xxxxxxxxxxxxxxxxxxx": malformed RESP2 message or length beyond the limit
	// "$x\r\n": malformed RESP2 message or length beyond the limit
	// "*3\r\n*3\r\n*3\r\n": malformed RESP2 message or length beyond the limit
}

// parseInPieces feeds text in pieces and returns the parsed replies as text. A suffix tells why parsing stopped early.
func parseInPieces(t *testing.T, text []byte, pieceBytes int) (parsed string) {
	t.Helper()
	decoder, ring := newReplyDecoder()
	for len(text) > 0 {
		n := ring.Append(text[:min(len(text), pieceBytes)])
		if n == 0 {
			return parsed + "full"
		}
		text = text[n:]
		all, err := nextReplies(t, &decoder, &ring)
		parsed += all
		if err != nil {
			return parsed + "malformed"
		}
	}
	return parsed
}

// nextReplies returns all complete replies as text.
func nextReplies(t *testing.T, decoder *ReplyDecoder, ring *Ring) (parsed string, err error) {
	t.Helper()
	for {
		parts, err := decoder.Next(ring)
		if parts == nil || err != nil {
			return parsed, err
		}
		if len(parts) > decoder.MaxParts {
			t.Fatal("more parts than MaxParts")
		}
		for _, part := range parts {
			parsed += fmt.Sprintf("%c%q ", part.Kind, part.Text)
		}
	}
}

// FuzzReplies checks that any input gives the same replies however it is split, and never exceeds MaxParts.
func FuzzReplies(f *testing.F) {
	f.Add([]byte("*2\r\n$1\r\na\r\n:3\r\n+OK\r\n"), 3)
	f.Add([]byte("$-1\r\n-ERR x\r\n"), 1)
	f.Fuzz(func(t *testing.T, text []byte, pieceBytes int) {
		bytewise, split := parseInPieces(t, text, 1), parseInPieces(t, text, max(1, pieceBytes%50))
		if bytewise != split {
			t.Errorf("byte by byte: %q, in pieces: %q", bytewise, split)
		}
	})
}
