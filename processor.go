package carobpulley

import "time"

// ProcessorLoad tells how busy the processor of a process was over a span of time.
type ProcessorLoad struct {
	// Used is the processor time that the process has used.
	Used time.Duration
	// Wait is the mean time for which goroutines that were ready to run have waited for the processor.
	Wait time.Duration
}

// Processor measures the processor load of this process.
type Processor interface {
	// Load returns the load since the last call.
	Load() ProcessorLoad
}
