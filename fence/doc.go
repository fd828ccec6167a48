// Package fence implements carobpulley.Gate, the agent's check before each
// start. It makes sure that no task starts twice and that nothing starts on the
// word of a sender whose authority may have lapsed.
//
// Why a refusal holds for good: every dispatch carries an echo that is stale
// after carobpulley.EchoValidity. Refusals whose reason may pass (no slot, out
// of service) and queries leave a mark that outlives the echo, so that a copy of
// the message that arrives later is refused too.
package fence
