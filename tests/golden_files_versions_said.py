"""Answers to operators of versions, the events in the log, and the names of the rules."""

from __future__ import annotations

from dataclasses import replace

from golden_files import as_json
from indigohitch.errors import InvalidRequestError
from indigohitch.versions.checks import Facts, Fault, faults, weights
from indigohitch.versions.commands import answer
from indigohitch.versions.store import Store
from indigohitch.versions.tables import root_of
from publishing import FACTS, Plain, Room, line, moved

ASKED = (
    "list",
    "show 1 7",
    "diff 1 2",
    "name good 1",
    "show good 0",
    "pin",
    "list",
    "unpin",
    "unpin",
    "rollback good --dry-run",
    "rollback good",
    "unpin --anyway",
    "rollback 3-123",
    "throw away",
)
WAS = root_of({slice: {"a": 1.0} for slice in range(40)})
KNOWN = Facts({"a": "ready", "b": "ready", "d": "draining", "g": "gone"}, frozenset(range(40)))
# By rule: a change that it stops, and the facts for it.
STOPPED = {
    "owner": ({0: {}}, KNOWN),
    "listed": ({0: {"x": 1.0}}, KNOWN),
    "gone": ({0: {"g": 1.0}}, KNOWN),
    "draining": ({0: {"d": 1.0}}, KNOWN),
    "size": ({0: {"a": 1.0, "b": 1.0}}, replace(KNOWN, most_lines=40)),
    "cold": ({0: {"b": 1.0}}, replace(KNOWN, cold={"b": 0.5})),
    "blast": ({slice: {"b": 1.0} for slice in range(40)}, KNOWN),
    "repeats": ({}, replace(KNOWN, tries={"search": 2, "reserve": 2}, idempotent=frozenset({"search"}))),
}


def told(publisher, words: str) -> list[str]:
    try:
        return answer(publisher, 50, words.split(), "operator")
    except InvalidRequestError as bad:
        return ["unfit", bad.problem, bad.location, bad.remedy]


def commands() -> bytes:
    """Returns operators' commands in order with their answers, and the events that were logged."""
    store = Store(Plain(), "f")
    store.open(8)
    room = Room(2, store)
    room.publisher.apply_orders(1, moved(0, "a", "c") + moved(1, "b", "d"), "module moves")
    room.go()
    room.publisher.apply_orders(2, [line(3, "x")], "a backend that is not listed")
    room.publisher.update_facts(3, replace(FACTS, states={**FACTS.states, "d": "draining"}), "drain")
    answers = [{"asked": words, "answered": told(room.publisher, words)} for words in ASKED]
    return as_json({"answers": answers, "events": [[event, fields] for event, fields in room.said]})


def fault(one: Fault) -> dict:
    return {"rule": one.rule, "where": one.where, "why": one.why, "text": one.text()}


def rules() -> bytes:
    """Returns what each rule reports, and what remains when an operator sets it aside by name."""
    found = {}
    for rule, (changes, facts) in STOPPED.items():
        now = WAS.changed(changes)
        found[rule] = {
            "stopped": [fault(one) for one in faults(WAS, now, facts)],
            "set_aside": [fault(one) for one in faults(WAS, now, facts, frozenset({rule}))],
        }
    odd = weights({1: {"a": -1, "b": True}, 2: {"a": 0}})
    return as_json({"rules": found, "weights": [fault(one) for one in odd]})
