// Package decoder decodes YAML strictly into structs. It does not stop at the
// first error: it reports all problems of a document together, each with file,
// line, column, path and a description of the accepted values.
//
// Parse returns a Source, the parsed document. Decode fills a struct whose fields
// have these tags:
//
//	yaml:"max-wait"     the key; a field without this tag is not decoded
//	required:"true"     the key must be present
//	min:"1s" max:"1h"   range of a number, a duration or an integer with a text form
//	items:"1"           minimum length of a list
//	oneof:"a b"         accepted strings
//	format:"name"       format of a string: name, model, address or sha256
//
// Unknown keys, values of another type, repeated keys, anchors, aliases, merge
// keys and tags are errors. A struct whose pointer type implements Defaulter gets
// its defaults before it is filled.
//
// Callers check conditions that involve several values themselves, and call
// Report with the path of the invalid value. Err returns all problems in the
// order of their positions.
package decoder
