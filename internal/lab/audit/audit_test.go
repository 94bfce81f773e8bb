package audit

import (
	"strings"
	"testing"

	"granitewing/internal/lab/client"
)

var classes = []Class{{"reading", "safe", 0}, {"batch", "keyed", 40_000_000}, {"alert", "unsafe", 0}}

// Each case is a sequence of observations of hosts and clients; the audit reports the rule that it violates, or
// none.
func TestRules(t *testing.T) {
	const s = 1_000_000
	served := func(l *Log, class int) {
		l.Sent(0, "t", class, 0)
		h := l.AttemptArrived(10, 20, "t", "a", 1, 0)
		l.Finish(s, "t", h, Done, "r")
		l.Ended(s+10, "t", client.Served, "r")
	}
	for name, c := range map[string]struct {
		do   func(l *Log)
		want string // part of the breach, empty for none
	}{
		"no breach":              {func(l *Log) { served(l, 2) }, ""},
		"answered twice":         {func(l *Log) { served(l, 0); l.Ended(2*s, "t", client.Served, "r") }, "more than one answer"},
		"bytes after the answer": {func(l *Log) { served(l, 0); l.Extra("t") }, "more than one answer"},
		"never answered":         {func(l *Log) { l.Sent(0, "t", 0, 0) }, "no answer before the run ended"},
		"no answer":              {func(l *Log) { l.Sent(0, "t", 0, 0); l.Ended(s, "t", client.Silent, "") }, "no whole answer"},
		"broken during a kill": {func(l *Log) {
			l.Sent(0, "t", 0, 0)
			l.Ended(s, "t", client.Broken, "")
			l.Killed(0, s-100, 5*s)
		}, ""},
		"broken during the kill of another dispatcher": {func(l *Log) {
			l.Sent(0, "t", 0, 0)
			l.Ended(s, "t", client.Broken, "")
			l.Killed(1, s-100, 5*s)
		}, "no whole answer"},
		"a result that no host made": {func(l *Log) {
			l.Sent(0, "t", 0, 0)
			l.Finish(s, "t", l.AttemptArrived(10, 20, "t", "a", 1, 0), Failed, "")
			l.Ended(s, "t", client.Served, "r")
		}, "which no host made"},
		"an attempt of an unknown try": {func(l *Log) { l.AttemptArrived(10, 20, "x", "a", 1, 0) }, "no client sent it"},
		"one name twice":               {func(l *Log) { served(l, 0); l.Sent(5, "t", 0, 0) }, "used the name t twice"},
		"unsafe and refused after it ran": {func(l *Log) {
			l.Sent(0, "t", 2, 0)
			l.Finish(s, "t", l.AttemptArrived(10, 20, "t", "a", 1, 0), Failed, "")
			l.Ended(s, "t", client.Refused, "")
		}, "refused as if it had not run"},
		"unsafe and returned, then served elsewhere": {func(l *Log) {
			l.Sent(0, "t", 2, 0)
			l.Finish(s, "t", l.AttemptArrived(10, 20, "t", "a", 1, 0), NeverRan, "")
			l.Finish(3*s, "t", l.AttemptArrived(2*s, 2*s, "t", "b", 1, 0), Done, "r")
			l.Ended(3*s, "t", client.Served, "r")
		}, ""},
		"unsafe and sent again": {func(l *Log) {
			l.Sent(0, "t", 2, 0)
			l.Finish(s, "t", l.AttemptArrived(10, 20, "t", "a", 1, 0), Closed, "")
			l.Finish(3*s, "t", l.AttemptArrived(2*s, 2*s, "t", "b", 1, 0), Done, "r")
			l.Ended(3*s, "t", client.Served, "r")
		}, "sent to b though it may have run at a"},
		"ended before its host read it, observed after the next attempt": {func(l *Log) {
			l.Sent(0, "t", 0, 0)
			a := l.AttemptArrived(s, s, "t", "a", 1, 0)
			l.Finish(s+10_009, "t", l.AttemptArrived(s+10_000, s+10_000, "t", "b", 1, 0), Closed, "")
			l.Finish(3*s, "t", a, Done, "r")
			l.Ended(3*s, "t", client.Served, "r")
		}, ""},
		"two attempts at a time": {func(l *Log) {
			l.Sent(0, "t", 0, 0)
			a := l.AttemptArrived(10, 20, "t", "a", 1, 0)
			l.Finish(3*s, "t", l.AttemptArrived(s, s, "t", "b", 1, 0), Done, "r")
			l.Finish(4*s, "t", a, Closed, "")
			l.Ended(3*s, "t", client.Served, "r")
		}, "while one was out at a"},
		"a close that was observed late": {func(l *Log) {
			l.Sent(0, "t", 0, 0)
			l.Finish(s+40_000, "t", l.AttemptArrived(10, 20, "t", "a", 1, 0), Closed, "")
			l.Finish(3*s, "t", l.AttemptArrived(s, s, "t", "b", 1, 0), Done, "r")
			l.Ended(3*s, "t", client.Served, "r")
		}, ""},
		"four attempts": {func(l *Log) {
			l.Sent(0, "t", 0, 0)
			for i := range int64(4) {
				l.Finish(i*s+100, "t", l.AttemptArrived(i*s, i*s, "t", "a", 1, 0), NeverRan, "")
			}
			l.Ended(9*s, "t", client.Refused, "")
		}, "had 4 attempts"},
		"keyed within its rack": {func(l *Log) {
			l.Sent(0, "t", 1, 0)
			l.Finish(s, "t", l.AttemptArrived(10, 20, "t", "a", 1, 0), Closed, "")
			l.Finish(3*s, "t", l.AttemptArrived(2*s, 2*s, "t", "b", 1, 0), Done, "r")
			l.Ended(3*s, "t", client.Served, "r")
		}, ""},
		"keyed outside its rack": {func(l *Log) {
			l.Sent(0, "t", 1, 0)
			l.Finish(s, "t", l.AttemptArrived(10, 20, "t", "a", 1, 0), Closed, "")
			l.Finish(3*s, "t", l.AttemptArrived(2*s, 2*s, "t", "b", 2, 0), Done, "r")
			l.Ended(3*s, "t", client.Served, "r")
		}, "outside its rack or window"},
		"keyed beyond its window": {func(l *Log) {
			l.Sent(0, "t", 1, 0)
			l.Finish(s, "t", l.AttemptArrived(10, 20, "t", "a", 1, 0), Closed, "")
			l.Finish(50*s, "t", l.AttemptArrived(41*s, 41*s, "t", "b", 1, 0), Done, "r")
			l.Ended(50*s, "t", client.Served, "r")
		}, "outside its rack or window"},
		"to a host that drains": {func(l *Log) {
			l.StateSent(0, 0, "a", false)
			l.StateSent(790_000, 0, "a", false) // sent again, which does not restart the period
			l.Sent(0, "t", 0, 0)
			l.Finish(s, "t", l.AttemptArrived(801_000, 802_000, "t", "a", 1, 0), NeverRan, "")
			l.Ended(s, "t", client.Refused, "")
		}, "reached a 801 ms after its leaving was told"},
		"to a host that drains, just in time": {func(l *Log) {
			l.StateSent(0, 0, "a", false)
			l.Sent(0, "t", 0, 0)
			l.Finish(s, "t", l.AttemptArrived(799_000, 900_000, "t", "a", 1, 0), NeverRan, "")
			l.Ended(s, "t", client.Refused, "")
		}, ""},
		"to a host that drains, told to another dispatcher": {func(l *Log) { l.StateSent(0, 1, "a", false); served(l, 0) }, ""},
		"to a host that is available again": {func(l *Log) {
			l.StateSent(0, 0, "a", false)
			l.StateSent(s, 0, "a", true)
			l.Sent(0, "t", 0, 0)
			l.Finish(6*s, "t", l.AttemptArrived(5*s, 5*s, "t", "a", 1, 0), NeverRan, "")
			l.Ended(6*s, "t", client.Refused, "")
		}, ""},
		"to a host whose drain was listed 7 s ago and never told": {func(l *Log) {
			l.Listed(0, "a", true)
			l.Listed(s, "a", false)
			l.Sent(0, "t", 0, 0)
			l.Finish(9*s, "t", l.AttemptArrived(8*s, 8*s, "t", "a", 1, 0), NeverRan, "")
			l.Ended(9*s, "t", client.Refused, "")
		}, "1000 ms after its leaving was told"},
		"a cold host overrun": {func(l *Log) { served(l, 0); l.HostOverrun(s, "a") }, "a at 1.000 s"},
	} {
		l := New(classes)
		c.do(l)
		rep := l.Check()
		text := rep.String()
		if broken := rep.Broken(); (broken > 0) != (c.want != "") || !strings.Contains(text, c.want) || broken > 1 {
			t.Errorf("%s: %d breaches, want %q in\n%s", name, broken, c.want, text)
		}
	}
}
