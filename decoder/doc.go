// Package decoder reads YAML strictly into structs and reports every fault at
// once, each with file, line, column, path and what was expected.
//
// A Source is parsed once. Decode fills a struct whose fields carry tags:
//
//	yaml:"max-wait"     the key; every field that is read has one
//	required:"true"     the key must be present
//	min:"1s" max:"1h"   range of a number, duration or type with a text form
//	items:"1"           smallest length of a list
//	oneof:"a b"         allowed strings
//	format:"name"       named format of strings, see formats
//
// Keys that the struct does not have, values of another type, repeated keys,
// anchors, aliases, merge keys and tags are faults. A type with a SetDefaults
// method on its pointer gets its defaults before it is filled.
//
// Checks that concern several values call Report with the path of the value at
// fault. Err returns all faults in the order of their positions.
package decoder
