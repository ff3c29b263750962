package page

import (
	"fmt"
	"strings"
)

// Page returns the page served at a URI. It depends on the URI alone.
func Page(uri string) string {
	return fmt.Sprintf("<html><body><h1>%s</h1>%s</body></html>\n", uri, strings.Repeat("<p>lot and vacancy rows</p>", 40))
}

// Receipt returns the answer to a request that is not a GET.
func Receipt(path, key string, body []byte) string {
	return fmt.Sprintf(`{"path":%q,"key":%q,"bytes":%d,"accepted":true}`, path, key, len(body))
}
