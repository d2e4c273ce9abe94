package tables

// The HTTP protocol of the platform. Bodies are JSON, except those of objects,
// which are raw bytes. See README.md.
const (
	PathGet       = "/v1/table/get"
	PathList      = "/v1/table/list"
	PathCommit    = "/v1/table/commit"
	PathObjects   = "/v1/objects/"
	PathInstances = "/v1/instances"
	PathRegister  = "/v1/instances/register"
	PathLeave     = "/v1/instances/leave"

	// HeaderInstance names the calling instance.
	HeaderInstance = "Pistachioford-Instance"
)

// MaxBodyBytes is the maximum size of a request or response body. It leaves
// room for the largest document in base64.
const MaxBodyBytes = 16 << 20

// GetRequest is the body of PathGet.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ListRequest is the body of PathList.
type ListRequest struct {
	Prefix string `json:"prefix"`
}

// LeaveRequest is the body of PathLeave.
type LeaveRequest struct {
	ID string `json:"id"`
}

// RowsResponse answers PathGet, PathList and PathCommit.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// InstancesResponse answers PathInstances.
type InstancesResponse struct {
	Instances []Instance `json:"instances"`
}
