package cowslipentry

// RouteSummary is what decides about requests of a route.
type RouteSummary struct {
	Name                string  `json:"name"`
	Host                string  `json:"host"`
	Prefix              string  `json:"prefix"`
	Public              bool    `json:"public"`
	Wide                bool    `json:"wide"`     // whether the answers of all services are merged
	MinParts            int     `json:"minParts"` // how many services must answer
	Attempts            int     `json:"attempts"` // limit for each service
	Once                bool    `json:"once"`
	Priority            int     `json:"priority"` // of the request; 0 is the most urgent
	LatencyTargetMillis int64   `json:"latencyTargetMillis"`
	TimeoutMillis       int64   `json:"timeoutMillis"`    // of the request
	HedgeAfterMillis    float64 `json:"hedgeAfterMillis"` // 0 if a second replica is not asked
}
