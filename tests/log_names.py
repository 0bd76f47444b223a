"""Names of log events and counters before they got the field's terms, by the table of docs/on-call.md.

The golden files of the log hold the old names; each is compared through the table that operators carry their
alerts over by, so that a name that changes without a row there fails."""

import json
import re
from collections.abc import Mapping
from pathlib import Path

PAGE = Path(__file__).resolve().parent.parent / "docs" / "on-call.md"
ROW = re.compile(r"\| (`\w+`(?:, `\w+`)*) \| (`\w+`(?:, `\w+`)*) \|")


def former_names() -> dict[str, str]:
    """Old name by new name."""
    table = PAGE.read_text().split("## Old and new names")[1]
    found = {}
    for old, new in ROW.findall(table):
        found |= zip(re.findall(r"\w+", new), re.findall(r"\w+", old), strict=True)
    return found


FORMER = former_names()


def former_line(line: str) -> str:
    """A log line with its event, or the names of its counters, as they were."""
    line = re.sub(r'"(\w+)"', lambda name: f'"{FORMER.get(name[1], name[1])}"', line)
    fields = json.loads(line)
    if fields["event"] != "counters":
        return line
    head = {name: fields.pop(name) for name in ("ms", "coordinator", "event")}
    return json.dumps(head | dict(sorted(fields.items())), separators=(",", ":"))


def former_counts(counts: Mapping[str, int]) -> dict[str, int]:
    """Counters under their former names, in order."""
    return dict(sorted((FORMER.get(name, name), count) for name, count in counts.items()))


def former_pattern(name: str) -> str:
    """The same for a name whose end is filled in later."""
    return "news_{}" if name == "relay_event_{}" else FORMER.get(name, name)
