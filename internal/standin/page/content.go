package page

import (
	"fmt"
	"strings"
)

// Page is the page at a URI; it follows from the URI alone.
func Page(uri string) string {
	return fmt.Sprintf("<html><body><h1>%s</h1>%s</body></html>\n", uri, strings.Repeat("<p>lot and vacancy rows</p>", 40))
}

// Receipt is the answer to a request that changes something.
func Receipt(path, key string, body []byte) string {
	return fmt.Sprintf(`{"path":%q,"key":%q,"bytes":%d,"accepted":true}`, path, key, len(body))
}
