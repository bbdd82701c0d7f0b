package core

// Balance is the operators' choice whether requests are balanced by counts of the whole fleet.
type Balance string

// Values of Balance. The empty value means BalanceAuto.
const (
	BalanceAuto Balance = "auto" // where an engine has small batches
	BalanceOn   Balance = "on"
	BalanceOff  Balance = "off"
)

// MaxSmallBatch is the number of slots per runner up to which an engine has small batches. One request is
// then more than a sixteenth of the batch, so that an error of a few requests in what is believed to be in
// progress at a runner decides whether the next one is late.
const MaxSmallBatch = 16

// Valid reports whether b is one of the values of Balance.
func (b Balance) Valid() bool {
	return b == "" || b == BalanceAuto || b == BalanceOn || b == BalanceOff
}

// Enabled reports whether requests are balanced by counts of the whole fleet under a configuration.
func (b Balance) Enabled(c *Config) bool {
	if c == nil || b == BalanceOff {
		return false
	}
	return b == BalanceOn || c.smallBatches
}

// hasSmallBatches reports whether an engine of the configuration has small batches.
func (c *Config) hasSmallBatches() bool {
	for _, s := range c.Services {
		if s.Engine != nil && s.Engine.Slots > 0 && s.Engine.Slots <= MaxSmallBatch {
			return true
		}
	}
	return false
}
