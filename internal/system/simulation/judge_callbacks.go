package simulation

import (
	"fmt"
	"strings"

	"granitewing/internal/system/wire"
)

// judgeCallbacks sees that the end of each accepted message was told to its receiver, now that all is well. What breaks the rule is told with what
// the disks hold of the message, and which of them list it.
func (d *day) judgeCallbacks() {
	for _, r := range d.checker.accepted() {
		if r.callback && r.ended() && r.calledBack == 0 {
			d.checker.breakRule(d.world.now, "LOST", r.id+" has ended, and its call-back never came: "+d.whereabouts(r.id))
		}
	}
}

// whereabouts tells what the disks hold of a message, and whether they list it to who takes its unit over.
func (d *day) whereabouts(id string) string {
	var places []string
	for _, name := range sortedKeys(d.stores) {
		if host := d.stores[name]; host.alive {
			if text := host.holding(id); text != "" {
				places = append(places, name+" "+text)
			}
		}
	}
	if len(places) == 0 {
		return "no disk knows it"
	}
	return strings.Join(places, ", ")
}

// holding tells what a store holds of a message, empty where that is nothing.
func (h *storeHost) holding(id string) string {
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
		text += " bytes"
	}
	if copied.End != nil {
		text += fmt.Sprintf(" end owed=%t", copied.End.CallbackOwed)
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
