package simulation

import (
	"fmt"
	"strings"

	"granitewing/internal/system/wire"
)

// checkCallbacks checks at the end, without faults, that the receiver of each accepted message was notified of its
// outcome, unless it has completed less than idleTime ago or may have been accepted on a route without call-backs. A violation says what the disks hold of the message, and which of them list it.
func (sim *simulation) checkCallbacks() {
	for _, r := range sim.checker.accepted() {
		if r.callback && r.completed() && r.callbackCount == 0 && sim.world.now-r.completedAt > idleTime && !sim.checker.maybeFallback(sim.world.now, r) {
			sim.checker.reportViolation(sim.world.now, "LOST", fmt.Sprintf("%s completed at %s but its call-back was never received: %s", r.id, r.completedAt, sim.describeReplicas(r.id)))
		}
	}
}

// describeReplicas describes what each disk holds of a message, and whether its store lists the message to a carrier
// that takes over the message's unit.
func (sim *simulation) describeReplicas(id string) string {
	var places []string
	for _, name := range sortedKeys(sim.stores) {
		if host := sim.stores[name]; host.alive {
			if text := host.describeReplica(id); text != "" {
				places = append(places, name+" "+text)
			}
		}
	}
	if len(places) == 0 {
		return "no disk holds it"
	}
	return strings.Join(places, ", ")
}

// describeReplica describes what a store holds of a message. It returns an empty string if the store holds nothing.
func (h *storeHost) describeReplica(id string) string {
	copies, err := h.core.Copies([]string{id})
	if err != nil {
		return err.Error()
	}
	if len(copies.Messages) == 0 {
		return ""
	}
	copied := &copies.Messages[0]
	text := fmt.Sprintf("(unit %q", copied.Message.Unit)
	if copied.Message.Method != "" {
		text += " body"
	}
	if copied.Outcome != nil {
		text += fmt.Sprintf(" outcome, call-back owed=%t", copied.Outcome.CallbackOwed)
	}
	answer, err := h.core.List(wire.ListBody{Unit: copied.Message.Unit})
	if err != nil {
		return err.Error()
	}
	for i := range answer.Messages {
		if answer.Messages[i].Message.ID == id {
			return text + " listed)"
		}
	}
	return text + ")"
}
