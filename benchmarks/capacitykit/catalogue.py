"""What is measured: each series grows one count and holds the others.

`sizes` make the fit, `held_back` checks it.  The quick run divides every size of the count that grows."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True, eq=False)
class Series:
    """`cell`: module and function in this package; `grows`: the count's name in that function."""

    name: str
    group: str
    cell: str
    grows: str
    sizes: tuple[int, ...]
    held_back: int
    fixed: Mapping[str, int] = field(default_factory=dict)
    quick_divisor: int = 4
    times: int = 7  # runs of each cell; three where they are long

    def quick(self) -> Series:
        by = self.quick_divisor
        return Series(
            self.name,
            self.group,
            self.cell,
            self.grows,
            tuple(size // by for size in self.sizes),
            self.held_back // by,
            self.fixed,
            1,
            1,
        )

    def counts(self, size: int) -> dict[str, int]:
        return {**self.fixed, self.grows: size}


MODULE = "module_cell:measure"
SERIES = (
    Series(
        "module, 232 slices",
        "module_backends",
        MODULE,
        "backends",
        (200, 500, 1000, 2000),
        5000,
        {"slices": 232, "proxies": 4, "coordinators": 5},
        10,
        3,
    ),
    Series(
        "module, 5 slices",
        "module_whole",
        MODULE,
        "backends",
        (1750, 3500, 7000, 14000),
        28000,
        {"slices": 5, "proxies": 4, "coordinators": 6500},
        8,
        3,
    ),
    Series(
        "module, 350 backends",
        "module",
        MODULE,
        "slices",
        (58, 116, 232, 464),
        928,
        {"backends": 350, "proxies": 4, "coordinators": 5},
    ),
    Series(
        "module, 350 backends, 46 slices",
        "module",
        MODULE,
        "proxies",
        (32, 64, 128, 256),
        512,
        {"backends": 350, "slices": 46, "coordinators": 5},
    ),
    Series(
        "module, scoped",
        "module",
        MODULE,
        "backends",
        (88, 175, 350, 700),
        1400,
        {"slices": 5, "proxies": 4, "coordinators": 81},
    ),
    Series("ledger", "ledger", "ledger_cell:measure", "followers", (400, 800, 1600, 3200), 6500, {}, 8, 3),
    Series(
        "ledger entries",
        "ledger",
        "entries_cell:measure",
        "entries",
        (2000, 4000, 8000, 16000),
        32000,
        {},
        4,
        3,
    ),
    Series("leases", "ledger", "leases_cell:measure", "members", (400, 800, 1600, 3200), 6500, {}, 4, 3),
    Series(
        "seats",
        "seats",
        "seats_cell:measure",
        "members",
        (400, 800, 1600, 3200),
        6500,
        {"tenants": 8},
        4,
        3,
    ),
    Series(
        "seats, 50 members",
        "seats",
        "seats_cell:measure",
        "tenants",
        (64, 128, 256, 512),
        1024,
        {"members": 50},
    ),
    Series("audit", "audit", "audit_cell:records", "records", (4000, 8000, 16000, 32000), 64000),
    Series("audit heads", "audit", "audit_cell:heads", "members", (400, 800, 1600, 3200), 6500),
    Series("links", "links", "links_cell:measure", "connections", (100, 200, 400, 800), 1600, {}, 8, 3),
    Series("discovery", "platform", "platform_cell:discovery", "backends", (1750, 3500, 7000, 14000), 28000),
    Series("collectors", "platform", "platform_cell:collectors", "lines", (250, 500, 1000, 2000), 4000),
)
GROUPS = tuple(dict.fromkeys(series.group for series in SERIES))
