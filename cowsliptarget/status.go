package cowsliptarget

import "net/http"

// maxStatus is the greatest status that a response may have.
const maxStatus = 599

// IsFinalStatus reports whether a number is the status of a response that ends a request. What has
// another one is no response, whatever else it says.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }
