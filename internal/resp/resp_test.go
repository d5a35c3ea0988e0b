package resp

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const small = "*2\r\n$4\r\nPING\r\n$1\r\n8\r\n" + "*3\r\n$2\r\nDO\r\n$1\r\n9\r\n$0\r\n\r\n" + "*1\r\n$6\r\n\r\n*1\r\n\r\n"

// decode feeds a stream in parts that end at the cuts, and returns the frames as text.
func decode(stream string, bound int, cuts ...int) (string, error) {
	r := Ring{Bound: bound}
	d := Decoder{Args: 4, Size: 40, Most: bound}
	var out []string
	from := 0
	for _, to := range append(cuts, len(stream)) {
		for part := []byte(stream[from:to]); len(part) > 0; {
			n := r.Append(part)
			if n == 0 {
				return strings.Join(out, " | "), fmt.Errorf("%d bytes found no room", len(part))
			}
			part = part[n:]
			for {
				args, err := d.Next(&r)
				if err != nil {
					return strings.Join(out, " | "), err
				}
				if args == nil {
					break
				}
				out = append(out, fmt.Sprintf("%q", args))
			}
		}
		from = to
	}
	return strings.Join(out, " | "), nil
}

// Frames are the same however they come, and in a ring that they wrap around.
func TestDecoderSplits(t *testing.T) {
	stream := strings.Repeat(small, 3)
	want, err := decode(stream, 1<<10)
	if err != nil || strings.Count(want, "|") != 8 || !strings.Contains(want, `["DO" "9" ""]`) {
		t.Fatalf("whole: %s, %v", want, err)
	}
	every := make([]int, len(stream)-1)
	for i := range every {
		every[i] = i + 1
		for _, bound := range []int{64, 1 << 10} {
			if got, err := decode(stream, bound, i+1); got != want || err != nil {
				t.Errorf("cut at %d, ring of %d: %s, %v", i+1, bound, got, err)
			}
		}
	}
	if got, err := decode(stream, 64, every...); got != want || err != nil {
		t.Errorf("byte by byte: %s, %v", got, err)
	}
}

// What breaks the framing is told when it is announced: no bound waits for the bytes.
func Example_wrong() {
	for _, s := range []string{
		"PING\r\n", "*0\r\n", "*-1\r\n", "*5\r\n", "*1\r\n$-1\r\n", "*1\r\n$41\r\n", "*1\r\n$99999999999999\r\n",
		"*3\r\n$40\r\n" + strings.Repeat("x", 40) + "\r\n$30\r\n", "*\r\n", "*1\n", "*1\r\r", "*1\r\n$1x\r\n", "*1\r\n$1\r\nab\r\n", "*1\r\n:1\r\n",
	} {
		got, err := decode(s, 64)
		fmt.Printf("%.12q %s%v\n", s, got, err == ErrFraming)
	}
	// Output:
	// "PING\r\n" true
	// "*0\r\n" true
	// "*-1\r\n" true
	// "*5\r\n" true
	// "*1\r\n$-1\r\n" true
	// "*1\r\n$41\r\n" true
	// "*1\r\n$9999999" true
	// "*3\r\n$40\r\nxxx" true
	// "*\r\n" true
	// "*1\n" true
	// "*1\r\r" true
	// "*1\r\n$1x\r\n" true
	// "*1\r\n$1\r\nab\r\n" true
	// "*1\r\n:1\r\n" true
}

func Example_fields() {
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

// A ring keeps to its bound, gives bytes out in order, and gives its memory back.
func TestRing(t *testing.T) {
	r := Ring{Bound: 5000}
	var in, out []byte
	for i := range 4000 {
		p := bytes.Repeat([]byte{byte(i)}, i%7*100)
		in = append(in, p[:r.Append(p)]...)
		if r.Len() > r.Bound || len(r.buf) > r.Bound {
			t.Fatalf("%d bytes in %d of %d", r.Len(), len(r.buf), r.Bound)
		}
		n := min(len(r.Head()), i%5*100)
		out = append(out, r.Head()[:n]...)
		r.Drop(n)
	}
	out = append(out, r.First(r.Len())...)
	if !bytes.Equal(in, out) {
		t.Errorf("%d bytes went in, %d came out, or others", len(in), len(out))
	}
	if r.Drop(r.Len()); r.Room() != r.Bound {
		t.Errorf("an empty ring has room for %d of %d", r.Room(), r.Bound)
	}
	if r.Release(); r.buf != nil {
		t.Error("an empty ring keeps its memory")
	}
}

// Frames go through a small ring in parts, and each knows where in the stream it ends.
func TestWriter(t *testing.T) {
	w := Writer{Ring: Ring{Bound: 7}}
	frames := [][]string{{"7", "OK", "", strings.Repeat("x", 30)}, {"8", "FAILED", "", ""}}
	var want, got string
	more := func() bool {
		if len(frames) == 0 {
			return false
		}
		f := frames[0]
		frames = frames[1:]
		want += string(AppendWords(nil, f...))
		if end := w.Put([]byte(f[3]), []byte(f[0]), []byte(f[1]), []byte(f[2])); int(end) != len(want) {
			t.Errorf("ends at %d, not %d", end, len(want))
		}
		return true
	}
	for out := w.Next(more); len(out) > 0; out = w.Next(more) {
		if w.Empty() || len(out) > 7 {
			t.Fatalf("%d bytes to be written", len(out))
		}
		n := min(3, len(out))
		got += string(out[:n])
		w.Wrote(n)
	}
	if got != want || !w.Empty() || int(w.Written) != len(want) {
		t.Errorf("%q, not %q", got, want)
	}
}

// FuzzDecoder: no stream may crash it, and a cut changes nothing.
func FuzzDecoder(f *testing.F) {
	f.Add(small, 5)
	f.Add("*2\r\n$1\r\na\r\n$41\r\n", 9)
	f.Add("*1\r\n$", 3)
	f.Fuzz(func(t *testing.T, s string, cut int) {
		whole, err := decode(s, 64)
		if cut = min(max(cut, 0), len(s)); cut > 0 {
			if split, other := decode(s, 64, cut); split != whole || (err == nil) != (other == nil) {
				t.Errorf("whole: %s, %v; cut at %d: %s, %v", whole, err, cut, split, other)
			}
		}
	})
}
