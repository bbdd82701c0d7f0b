package core

// Changes holds the version of the last change that a daemon has received for each
// kind of data that it reads from the platform's store.
type Changes struct {
	Config   uint64 `json:"config"`
	Runners  uint64 `json:"runners"`
	Settings uint64 `json:"settings"` // of the operators' settings tree
}
