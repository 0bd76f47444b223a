"""The size, the budgets, what is assumed where the operators say nothing, and the conditions."""

from __future__ import annotations

import math
from dataclasses import dataclass

DAY = 86_400  # seconds


@dataclass(slots=True, frozen=True)
class Given:
    name: str
    value: float
    meaning: str
    most: float = math.inf  # of a share: 1


SIZE = (
    Given("coordinators", 6_500, "coordinators"),
    Given("backends", 28_000, "backends before them"),
    Given("services", 1_600, "services that the backends belong to"),
    Given("routes", 7_500, "routes"),
    Given("tenants", 550_000, "tenants"),
    Given("requests", 1_400_000, "requests a second at the peak"),
    Given("regions", 19, "regions"),
    Given("zones", 41, "zones"),
    Given("machines", 6, "machines set aside for control"),
    Given("changes_a_day", 29_000, "changes of configuration a day, in force within 6 s"),
    Given("restarts_a_day", 1_800, "machines restarted or replaced a day"),
)
ASSUMED = (
    Given("services_reached", 20, "services that the routes of one coordinator reach"),
    Given("backends_reached", 350, "backends of these: `backends / services * services_reached`"),
    Given("slices", 5, "slices in a coordinator's charge: 1.16 a backend, over all coordinators"),
    Given("slices_sidecar", 406, "slices of a sidecar's pools, all in its own charge: 1.16 a backend"),
    Given("proxies", 4, "proxies joined to one coordinator on the platform"),
    Given("day_factor", 3, "an ordinary minute of a working day, against the mean over 24 hours"),
    Given("burst_factor", 10, "a burst of changes, against the ordinary minute"),
    Given("changes_a_restart", 3, "changes that one restart of a backend tells: drains, gone, ready"),
    Given("away", 300, "seconds for which a region was cut off"),
    Given("spell", 10, "seconds within which a zone's backends are told, or all who were cut off are back"),
    Given(
        "change_bytes", 161, "bytes of one change in discovery's form, without heads: as measured for a list"
    ),
    Given(
        "acting", 1.0, "share of the members that act in a second, and so tell a head of their records", 1.0
    ),
    Given("acts", 10, "acts a second that one member stamps: seats given and taken back"),
    Given("tenants_kept", 0.01, "share of the tenants with licence seats of their own", 1.0),
    Given("voters", 5, "voters of a ledger, on five of the six machines"),
)
CONSTANTS = (
    Given("news", 10, "turns a second for news at most: what comes within 100 ms is one"),
    Given("calls", 1.2, "calls to the relay a second at most: 12 in 10 s, as the bench's settings have it"),
    Given("beats", 20, "beats of the ledger a second, one each 50 ms"),
    Given("renewals", 1, "renewals of a subscriber's lease a second: four in a lease of 4 s"),
    Given("pulse_bytes", 24, "bytes of a pulse of a link, two a second each way, each answered"),
)
BUDGETS = {
    "control": (4.0, "4 % of a core"),
    "core": (100.0, "one core"),
    "memory": (32.0, "32 MB"),
    "bytes": (2_048.0, "2 KB a second"),
    "sockets": (1_024.0, "1,024 sockets, as README's configuration has it"),
    "force": (6_000.0, "6 s"),
    "proposal": (48.0, "48 KB, a proposal's body"),
}


@dataclass(slots=True, frozen=True)
class Condition:
    """`changes`: told a second in the whole fleet; `back`: coordinators that come back a second; `missed`:
    changes that each of those has missed."""

    name: str
    changes: str
    back: str = "0"
    missed: str = "0"


CONDITIONS = (
    Condition("ordinary minute", "changes_a_day / day * day_factor"),
    Condition("burst of changes", "changes_a_day / day * day_factor * burst_factor"),
    Condition(
        "zone lost and back",
        "changes_a_day / day * day_factor + backends / zones / spell",
        "coordinators / zones / spell",
        "backends / zones",
    ),
    Condition(
        "region back after minutes",
        "changes_a_day / day * day_factor",
        "coordinators / regions / spell",
        "changes_a_day / day * day_factor * away",
    ),
    Condition(
        "1,800 restarts a day",
        "changes_a_day / day * day_factor + restarts_a_day / day * day_factor * changes_a_restart",
        "restarts_a_day / day * day_factor",
        "backends",
    ),
)


def names() -> dict[str, float]:
    """What every formula may name."""
    return {"day": float(DAY)} | {one.name: float(one.value) for one in (*SIZE, *ASSUMED, *CONSTANTS)}
