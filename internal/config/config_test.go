package config

import (
	"fmt"
	"strings"
)

const confText = `{"name":"n3","listen":"127.0.0.1:9090","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "bulletin":"127.0.0.1:7070","known":{"no":0,"items":[]},
 "settings":{"az":1,"dcs":["west","east"],"shapes":["std","parent","origin"],"caps":{"conn_idle_ms":30000,"multiplex":100},
  "classes":[{"name":"clip","effect":"retryable","deadline_ms":5000}],"report":{"columns":["util","x1"],"via":"probe"}}}`

// What cannot be used ends in one plain line.
func ExampleRead() {
	c, err := Read([]byte(confText), "n4", "")
	fmt.Println(c.Name, c.Listen, c.Seed, c.Cores, c.MemoryMB, c.Sockets, c.Names, err)
	for _, odd := range [][2]string{
		{`{"name"`, `"name"`},
		{"8c1f", "xx"},
		{"127.0.0.1:9090", "nowhere"},
		{`"memory_mb":192`, `"memory_mb":1`},
		{"retryable", "odd"},
		{`"deadline_ms":5000`, `"deadline_ms":0`},
		{`"deadline_ms":5000}`, `"deadline_ms":5000},{"name":"clip","effect":"fragile","deadline_ms":1}`},
		{`"via":"probe"`, `"via":"probe",`},
		{`"sockets":1024`, `"sockets":"many"`},
		{`"settings"`, `"settinks"`},
		{`{"name":"clip","effect":"retryable","deadline_ms":5000}`, ""},
		{`"az":1`, `"az":"x"`},
	} {
		_, err := Read([]byte(strings.Replace(confText, odd[0], odd[1], 1)), "", "")
		fmt.Println(err)
	}
	_, err = Load(func(string) string { return "" })
	fmt.Println(err)
	// Output:
	// n4 127.0.0.1:9090 10096842570142050660 1 192 1024 {[clip] [] [west east] [std parent origin] [util x1] 30s 100} <nil>
	// configuration: line 1, column 7: invalid character ':' after top-level value
	// configuration: seed "xx30d27a5be964" is not hexadecimal
	// configuration: listen: address nowhere: missing port in address
	// configuration: limits of 1 cores, 1 MB, 1024 sockets are too small
	// settings.classes.0: the unknown effect "odd"
	// settings.classes.0: a deadline of 0 ms
	// settings.classes.1: there is a class "clip" before it
	// configuration: line 4, column 119: invalid character '}' looking for beginning of object key string
	// configuration.limits.sockets: a string where a value of type int belongs
	// configuration: settings are missing
	// settings: no classes
	// settings.az: a string where a value of type int belongs
	// RELAY_CONFIG is not set
}
