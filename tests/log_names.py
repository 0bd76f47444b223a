"""Translates names of log events and counters to their former names, by the table of docs/on-call.md.

The golden files of the log hold the former names.  Operators migrate their alerts by the same table, so a
comparison fails if a name changes without a row there.
"""

import json
import re
from collections.abc import Mapping
from pathlib import Path

PAGE = Path(__file__).resolve().parent.parent / "docs" / "on-call.md"
ROW = re.compile(r"\| (`\w+`(?:, `\w+`)*) \| (`\w+`(?:, `\w+`)*) \|")


def former_names() -> dict[str, str]:
    """Return the former name of each current name."""
    table = PAGE.read_text().split("## Old and new names")[1]
    found = {}
    for old, new in ROW.findall(table):
        found |= zip(re.findall(r"\w+", new), re.findall(r"\w+", old), strict=True)
    return found


FORMER = former_names()


def former_line(line: str) -> str:
    """Return a log line with its event, or the names of its counters, under their former names."""
    line = re.sub(r'"(\w+)"', lambda name: f'"{FORMER.get(name[1], name[1])}"', line)
    fields = json.loads(line)
    if fields["event"] != "counters":
        return line
    header = {name: fields.pop(name) for name in ("ms", "coordinator", "event")}
    return json.dumps(header | dict(sorted(fields.items())), separators=(",", ":"))


def former_counts(counts: Mapping[str, int]) -> dict[str, int]:
    """Return the counters under their former names, sorted."""
    return dict(sorted((FORMER.get(name, name), count) for name, count in counts.items()))


def former_pattern(name: str) -> str:
    """Return the former name of an event or counter whose name may have {} for a replacement field."""
    return "news_{}" if name == "relay_event_{}" else FORMER.get(name, name)
