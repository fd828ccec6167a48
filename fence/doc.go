// Package fence implements carobpulley.Gate, the check that an agent makes
// before each start. It ensures that no task starts twice and that no task
// starts on a dispatch whose sender may no longer hold authority.
//
// A refusal is permanent. Every dispatch carries an echo that expires after
// carobpulley.EchoValidity. A refusal for a reason that may pass (no slot, out
// of service) and a query leave a tombstone that outlives the echo, so that a
// copy of the message that arrives later is refused too.
package fence
