package cowslipentry

import "time"

// Code is the reason why a request got no answer.
type Code string

// The codes of a Refusal.
const (
	CodeBadRequest     Code = "badRequest"
	CodeUnauthorized   Code = "unauthorized"
	CodeUnknownService Code = "unknownService"
	CodeUnknownClass   Code = "unknownClass"
	CodeQuarantined    Code = "quarantined"
	CodeOverloaded     Code = "overloaded"
	CodeUnavailable    Code = "unavailable"
	CodeNotRun         Code = "notRun"
	CodeUnknown        Code = "unknown"
	CodeKeyReused      Code = "keyReused"
	CodeInvalidConfig  Code = "invalidConfig"
	CodeConflict       Code = "conflict"
	CodePlatformDown   Code = "platformDown"
)

// refusalRetryAfter is how long a caller is told to wait after a refusal that may be
// temporary, such as one for load.
const refusalRetryAfter = 500 * time.Millisecond

var codeStatus = map[Code]int{
	CodeBadRequest: 400, CodeUnauthorized: 401, CodeUnknownService: 404, CodeUnknownClass: 400, CodeQuarantined: 422,
	CodeOverloaded: 503, CodeUnavailable: 503, CodeNotRun: 503, CodeUnknown: 504, CodeKeyReused: 409,
	CodeInvalidConfig: 422, CodeConflict: 409, CodePlatformDown: 503,
}

// Refusal is the error that callers and operators receive instead of an answer. Ran
// is "notRun" if it is certain that the request did not run, otherwise "unknown".
type Refusal struct {
	Code             Code   `json:"code"`
	Message          string `json:"message"`
	Ran              string `json:"ran"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
	Details          any    `json:"details,omitempty"`
}

// Error returns the code and the message.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }

func refuse(c Code, message string) *Refusal {
	r := &Refusal{Code: c, Message: message, Ran: "notRun"}
	switch c {
	case CodeOverloaded, CodeUnavailable, CodeNotRun, CodePlatformDown:
		r.RetryAfterMillis = refusalRetryAfter.Milliseconds()
	case CodeUnknown:
		r.Ran = "unknown"
	}
	return r
}
