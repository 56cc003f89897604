package loader

import (
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Size is a number of bytes. Its text form is an integer with a binary unit,
// such as 512B, 64KiB, 8MiB or 1GiB.
type Size int64

// sizeUnits is in descending order. B is last because it is a suffix of every
// other unit.
var sizeUnits = []struct {
	suffix string
	bytes  Size
}{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(text []byte) error {
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(string(text), unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 32)
		if err != nil || n < 0 {
			break
		}
		*s = Size(n) * unit.bytes
		return nil
	}
	return errors.Errorf("%q is not a valid size", text)
}

// Describe implements decoder.Describer.
func (s Size) Describe() string {
	return "a size such as 8MiB"
}

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// String returns the size as a multiple of the largest unit that divides it.
func (s Size) String() string {
	for _, unit := range sizeUnits {
		if s != 0 && s%unit.bytes == 0 {
			return strconv.FormatInt(int64(s/unit.bytes), 10) + unit.suffix
		}
	}
	return "0B"
}
