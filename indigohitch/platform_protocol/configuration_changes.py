"""Finds the differences between two configurations that take effect only after a restart."""

from __future__ import annotations

from typing import Any

# These are read again at a reload or are new with each start; "settings" is compared by its entries.
NOT_COMPARED = frozenset({"store", "discovery", "settings", "known", "seed"})


def names_of_changes(current: dict[str, Any], new: dict[str, Any]) -> list[str]:
    """Names of the entries that differ, sorted; those of the settings follow as `settings.NAME`."""
    names = [name for name in _differing(current, new) if name not in NOT_COMPARED]
    return names + [f"settings.{name}" for name in _differing(current["settings"], new["settings"])]


def _differing(current: dict[str, Any], new: dict[str, Any]) -> list[str]:
    return [name for name in sorted(current.keys() | new.keys()) if current.get(name) != new.get(name)]
