package head

import "strings"

// tokenSymbols are the bytes besides letters and digits that RFC 9110, section 5.6.2,
// allows in the name of a field. Package httpguts has them too, but with tables of Unicode
// that each process would load.
const tokenSymbols = "!#$%&'*+-.^_`|~"

// isTokenByte reports whether a byte may be in the name of a field.
func isTokenByte(b byte) bool {
	letter := 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
	return letter || '0' <= b && b <= '9' || strings.IndexByte(tokenSymbols, b) >= 0
}
