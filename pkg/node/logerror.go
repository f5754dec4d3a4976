package node

import (
	"strings"

	"github.com/rs/zerolog"
)

// maxLoggedErrorBytes bounds the text of an error in a log line; errors may repeat what others have written.
const maxLoggedErrorBytes = 1000

// The text of each error that is logged is cut.
func init() { zerolog.ErrorMarshalFunc = cutError }

// cutError returns the text of an error, cut to maxLoggedErrorBytes.
func cutError(err error) any {
	if err == nil {
		return nil
	}
	text := err.Error()
	if len(text) > maxLoggedErrorBytes {
		text = strings.ToValidUTF8(text[:maxLoggedErrorBytes], "") + "..."
	}
	return text
}
