package logcl

// The paths and query parameters of the log service.
const (
	AppendPath     = "/append"
	ReadPath       = "/read"
	QueryFrom      = "from"
	QueryLimit     = "limit"
	QueryWaitUntil = "wait-until"
)

// AppendRequest is the body posted to AppendPath.
type AppendRequest struct {
	ID   string `json:"id"`
	Data []byte `json:"data"`
}

// AppendResponse is the answer to an AppendRequest. The answer to a read is a Batch.
type AppendResponse struct {
	Offset   uint64 `json:"offset"`
	Identity string `json:"identity"`
}
