package resp

import (
	"fmt"
	"strings"
	"testing"
)

func newReplies() (Replies, Ring) {
	return Replies{Size: 64, Line: 40, Parts: 8}, Ring{Bound: 128}
}

// Replies come whole however their bytes come, and a length out of bounds ends it when it is announced.
func ExampleReplies() {
	for _, text := range []string{
		"+OK\r\n", "-OOM no memory\r\n", ":-12\r\n", "$5\r\na\r\nbc\r\n", "$-1\r\n", "*2\r\n$1\r\na\r\n*1\r\n:3\r\n+PONG\r\n",
		"$65\r\n", "*9\r\n", "$1\r\nab\r\n", "!\r\n", "+" + strings.Repeat("x", 41), "$x\r\n", "*3\r\n*3\r\n*3\r\n",
	} {
		d, r := newReplies()
		for i := range len(text) {
			r.Append([]byte{text[i]})
			parts, err := d.Next(&r)
			if err != nil {
				fmt.Printf("%.20q: %v\n", text, err)
				break
			}
			for _, p := range parts {
				fmt.Printf("%c %q %d %v; ", p.Kind, p.Text, p.Int, p.Null)
			}
			if parts != nil {
				fmt.Println("whole")
			}
		}
	}
	// Output:
	// + "OK" 0 false; whole
	// - "OOM no memory" 0 false; whole
	// : "-12" -12 false; whole
	// $ "a\r\nbc" 5 false; whole
	// $ "" -1 true; whole
	// * "2" 2 false; $ "a" 1 false; * "1" 1 false; : "3" 3 false; whole
	// + "PONG" 0 false; whole
	// "$65\r\n": not an array of bulk strings within the bounds
	// "*9\r\n": not an array of bulk strings within the bounds
	// "$1\r\nab\r\n": not an array of bulk strings within the bounds
	// "!\r\n": not an array of bulk strings within the bounds
	// "+xxxxxxxxxxxxxxxxxxx": not an array of bulk strings within the bounds
	// "$x\r\n": not an array of bulk strings within the bounds
	// "*3\r\n*3\r\n*3\r\n": not an array of bulk strings within the bounds
}

// Bytes in any pieces give the same replies, and never more than the bounds.
func FuzzReplies(f *testing.F) {
	f.Add([]byte("*2\r\n$1\r\na\r\n:3\r\n+OK\r\n"), 3)
	f.Add([]byte("$-1\r\n-ERR x\r\n"), 1)
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		run := func(piece int) (out string) {
			d, r := newReplies()
			for rest := text; len(rest) > 0; {
				n := r.Append(rest[:min(len(rest), piece)])
				if rest = rest[n:]; n == 0 {
					return out + "full"
				}
				for {
					parts, err := d.Next(&r)
					if err != nil {
						return out + "bad"
					}
					if parts == nil {
						break
					}
					if len(parts) > d.Parts {
						t.Fatal("more parts than the bound")
					}
					for _, p := range parts {
						out += fmt.Sprintf("%c%q ", p.Kind, p.Text)
					}
				}
			}
			return out
		}
		if a, b := run(1), run(max(1, piece%50)); a != b {
			t.Errorf("%q and %q", a, b)
		}
	})
}
