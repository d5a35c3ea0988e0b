package resp

import (
	"errors"
	"fmt"
	"slices"
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

// bodyDecoder is a decoder of frames with a long last string, and counts what it asks for.
type bodyDecoder struct {
	Decoder
	ring     Ring
	decision BodyDecision
	delays   int // how often a body is delayed first
	asked    int
	heads    []string
}

func newBodyDecoder(decision BodyDecision, delays int) *bodyDecoder {
	decoder := &bodyDecoder{
		Decoder:  Decoder{MaxStrings: 5, MaxStringBytes: 60_000, MaxFrameBytes: 60_000, MaxBufferedBytes: 8 << 10},
		ring:     Ring{MaxBytes: 8 << 10},
		decision: decision,
		delays:   delays,
	}
	decoder.AllocateBody = func(head [][]byte, length int) ([]byte, BodyDecision) {
		decoder.asked++
		if decoder.asked <= decoder.delays {
			return nil, BodyDelayed
		}
		decoder.heads = append(decoder.heads, fmt.Sprintf("%q", head))
		if decoder.decision == BodyAllocated {
			return make([]byte, length), BodyAllocated
		}
		return nil, BodySkipped
	}
	return decoder
}

// feed passes a stream in pieces of at most a number of bytes and returns the frames as text, with the length of the
// last string instead of a long one, and "skipped" for one that was discarded.
func (d *bodyDecoder) feed(stream string, pieceBytes int) (frames []string, err error) {
	for len(stream) > 0 {
		n := copy(d.Buffer(&d.ring), stream[:min(len(stream), pieceBytes)])
		d.Commit(&d.ring, n)
		stream = stream[n:]
		for {
			args, err := d.Next(&d.ring)
			if err != nil {
				return frames, err
			}
			if args == nil {
				break
			}
			last := args[len(args)-1]
			text := fmt.Sprintf("%q", args[:len(args)-1])
			switch {
			case d.IsBodySkipped():
				text += " skipped"
			case len(last) > 100:
				text += fmt.Sprintf(" %d %t", len(last), strings.Count(string(last), "b") == len(last))
			default:
				text += fmt.Sprintf(" %q", last)
			}
			frames = append(frames, text)
		}
	}
	return frames, nil
}

// A long last string bypasses the ring, which stays small, however the stream is split; the frames around it are as
// they were. A skipped one is discarded, and a delayed one is asked for again.
func TestLongBodyBypassesRing(t *testing.T) {
	long := "*3\r\n$2\r\nDO\r\n$1\r\n9\r\n$48000\r\n" + strings.Repeat("b", 48_000) + "\r\n"
	stream := strings.Repeat(threeFrames+long, 2) + threeFrames
	for _, test := range []struct {
		name     string
		decision BodyDecision
		delays   int
		body     string
	}{
		{"allocated", BodyAllocated, 0, `["DO" "9"] 48000 true`},
		{"skipped", BodySkipped, 0, `["DO" "9"] skipped`},
		{"delayed, then allocated", BodyAllocated, 5, `["DO" "9"] 48000 true`},
	} {
		t.Run(test.name, func(t *testing.T) {
			around := []string{`["PING"] "8"`, `["DO" "9"] ""`, `[] "\r\n*1\r\n"`}
			want := fmt.Sprint(slices.Concat(around, []string{test.body}, around, []string{test.body}, around))
			for _, pieceBytes := range []int{1, 7, 100, 4096, 4097, 48_000, len(stream)} {
				decoder := newBodyDecoder(test.decision, test.delays)
				frames, err := decoder.feed(stream, pieceBytes)
				if got := fmt.Sprint(frames); got != want || err != nil {
					t.Fatalf("pieces of %d bytes: got %s, %v, want %s", pieceBytes, got, err, want)
				}
				if len(decoder.ring.buffer) > 8<<10 {
					t.Errorf("pieces of %d bytes: the ring has a buffer of %d", pieceBytes, len(decoder.ring.buffer))
				}
				if got := fmt.Sprint(decoder.heads); got != `[["DO" "9"] ["DO" "9"]]` {
					t.Errorf("pieces of %d bytes: asked for bodies after %s", pieceBytes, got)
				}
			}
		})
	}
}

// What becomes of a body may change while it is being read, and a scan of the ring goes on where the decoder is.
func TestBodyIsSkippedHalfway(t *testing.T) {
	decoder := newBodyDecoder(BodyAllocated, 0)
	const head = "*3\r\n$2\r\nDO\r\n$1\r\n9\r\n$48000\r\n"
	body := strings.Repeat("b", 48_000)
	if frames, err := decoder.feed(head+body[:20_000], 4096); len(frames) > 0 || err != nil {
		t.Fatalf("got %v, %v, want no frame yet", frames, err)
	}
	if partial := fmt.Sprintf("%q", decoder.Partial(&decoder.ring)); partial != `["DO" "9"]` {
		t.Errorf("the incomplete frame begins with %s", partial)
	}
	ring, scan := decoder.ring.Copy(), decoder.ScanCopy()
	if args, err := scan.Next(&ring); args != nil || err != nil {
		t.Errorf("a scan finds %q, %v, want no frame yet", args, err)
	}
	decoder.SkipBody()
	frames, err := decoder.feed(body[20_000:]+"\r\n"+threeFrames, 4096)
	if len(frames) != 4 || frames[0] != `["DO" "9"] skipped` || err != nil {
		t.Errorf("got %v, %v, want four frames, the first without its body", frames, err)
	}
}

// The part of a frame that is in the ring is bounded, and so is the end of a body checked.
func TestMalformedFramesWithBody(t *testing.T) {
	for name, stream := range map[string]string{
		"long strings before the last": "*3\r\n$9000\r\n" + strings.Repeat("x", 9000) + "\r\n$1\r\n9\r\n$0\r\n\r\n",
		"body without end":             "*1\r\n$5000\r\n" + strings.Repeat("b", 5000) + "xx",
		"body too long":                "*1\r\n$60001\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			frames, err := newBodyDecoder(BodyAllocated, 0).feed(stream, 4096)
			if len(frames) > 0 || !errors.Is(err, ErrMalformed) {
				t.Errorf("got %v, %v, want no frame and ErrMalformed", frames, err)
			}
		})
	}
}
