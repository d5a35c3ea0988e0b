package resp

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// threeFrames is a ping, a frame that ends in an empty string, and a frame whose string looks like a frame.
const threeFrames = "*2\r\n$4\r\nPING\r\n$1\r\n8\r\n" +
	"*3\r\n$2\r\nDO\r\n$1\r\n9\r\n$0\r\n\r\n" +
	"*1\r\n$6\r\n\r\n*1\r\n\r\n"

// smallRingBytes is the size of a ring that is shorter than the test streams, so that frames wrap around in the ring.
const smallRingBytes = 64

// decode feeds a stream to a decoder in pieces that end at the cuts, and returns the frames as text.
func decode(stream string, ringBytes int, cuts ...int) (string, error) {
	ring := Ring{MaxBytes: ringBytes}
	decoder := Decoder{MaxStrings: 4, MaxStringBytes: 40, MaxFrameBytes: ringBytes}
	var frames []string
	joinedFrames := func() string { return strings.Join(frames, " | ") }
	from := 0
	for _, to := range append(cuts, len(stream)) {
		for piece := []byte(stream[from:to]); len(piece) > 0; {
			n := ring.Append(piece)
			if n == 0 {
				return joinedFrames(), fmt.Errorf("no room for %d bytes", len(piece))
			}
			piece = piece[n:]
			for {
				args, err := decoder.Next(&ring)
				if err != nil {
					return joinedFrames(), err
				}
				if args == nil {
					break
				}
				frames = append(frames, fmt.Sprintf("%q", args))
			}
		}
		from = to
	}
	return joinedFrames(), nil
}

// Frames are the same however the stream is split, and also where they wrap around in the ring.
func TestDecoderSplits(t *testing.T) {
	stream := strings.Repeat(threeFrames, 3)
	want, err := decode(stream, 1<<10)
	if err != nil || strings.Count(want, "|") != 8 || !strings.Contains(want, `["DO" "9" ""]`) {
		t.Fatalf("unsplit: got %s, %v", want, err)
	}
	everyByte := make([]int, len(stream)-1)
	for i := range everyByte {
		everyByte[i] = i + 1
		for _, ringBytes := range []int{smallRingBytes, 1 << 10} {
			if got, err := decode(stream, ringBytes, i+1); got != want || err != nil {
				t.Errorf("cut at %d, ring of %d bytes: got %s, %v, want the same as unsplit", i+1, ringBytes, got, err)
			}
		}
	}
	if got, err := decode(stream, smallRingBytes, everyByte...); got != want || err != nil {
		t.Errorf("byte by byte: got %s, %v, want the same as unsplit", got, err)
	}
}

// A malformed frame, or one whose announced length exceeds a limit, gives an error and no frame.
func TestMalformedFrames(t *testing.T) {
	for name, stream := range map[string]string{
		"not an array":           "PING\r\n",
		"empty array":            "*0\r\n",
		"null array":             "*-1\r\n",
		"too many strings":       "*5\r\n",
		"null string":            "*1\r\n$-1\r\n",
		"string too long":        "*1\r\n$41\r\n",
		"string far too long":    "*1\r\n$99999999999999\r\n",
		"frame too long":         "*3\r\n$40\r\n" + strings.Repeat("x", 40) + "\r\n$30\r\n",
		"no count":               "*\r\n",
		"no CR":                  "*1\n",
		"no LF":                  "*1\r\r",
		"length is not a number": "*1\r\n$1x\r\n",
		"string without end":     "*1\r\n$1\r\nab\r\n",
		"number for a string":    "*1\r\n:1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := decode(stream, smallRingBytes); got != "" || !errors.Is(err, ErrMalformed) {
				t.Errorf("%q: got %s, %v, want no frame and ErrMalformed", stream, got, err)
			}
		})
	}
}

func TestPartialFrame(t *testing.T) {
	for stream, want := range map[string]string{
		"":                                    `[]`,
		"*3\r\n$2\r\nDO\r\n$1\r\n9":           `["DO"]`,
		"*3\r\n$2\r\nDO\r\n$1\r\n9\r\n":       `["DO" "9"]`,
		"*3\r\n$2\r\nDO\r\n$1\r\n9\r\n$4\r\n": `["DO" "9"]`,
		"PING":                                `[]`,
	} {
		ring := Ring{MaxBytes: smallRingBytes}
		ring.Append([]byte(stream))
		decoder := Decoder{MaxStrings: 4, MaxStringBytes: 40, MaxFrameBytes: smallRingBytes}
		if got := fmt.Sprintf("%q", decoder.Partial(&ring)); got != want {
			t.Errorf("%q: got %s, want %s", stream, got, want)
		}
	}
}

func ExampleField() {
	for rest := []byte("how=local,slow=1.5,,bare,a=b=c"); len(rest) > 0; {
		var name, value []byte
		name, value, rest = Field(rest)
		fmt.Printf("%s:%s\n", name, value)
	}
	// Output:
	// how:local
	// slow:1.5
	// :
	// bare:
	// a:b=c
}

// FuzzDecoder checks that no stream crashes the decoder, and that splitting a stream does not change the result.
func FuzzDecoder(f *testing.F) {
	f.Add(threeFrames, 5)
	f.Add("*2\r\n$1\r\na\r\n$41\r\n", 9)
	f.Add("*1\r\n$", 3)
	f.Fuzz(func(t *testing.T, stream string, cut int) {
		unsplit, err := decode(stream, smallRingBytes)
		if cut = min(max(cut, 0), len(stream)); cut > 0 {
			if split, splitErr := decode(stream, smallRingBytes, cut); split != unsplit || (err == nil) != (splitErr == nil) {
				t.Errorf("unsplit: %s, %v; cut at %d: %s, %v", unsplit, err, cut, split, splitErr)
			}
		}
	})
}
