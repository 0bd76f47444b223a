"""Finds the differences between two configurations that take effect only after a restart."""

from __future__ import annotations

from typing import Any

# A reload applies "store" and "discovery"; "known" and "seed" differ at each start; "settings" is
# compared entry by entry.
IGNORED_ENTRIES = frozenset({"store", "discovery", "settings", "known", "seed"})


def changed_entry_names(current: dict[str, Any], new: dict[str, Any]) -> list[str]:
    """Return the sorted names of the entries that differ, then those of the settings as `settings.NAME`."""
    names = [name for name in _differing(current, new) if name not in IGNORED_ENTRIES]
    return names + [f"settings.{name}" for name in _differing(current["settings"], new["settings"])]


def _differing(current: dict[str, Any], new: dict[str, Any]) -> list[str]:
    return [name for name in sorted(current.keys() | new.keys()) if current.get(name) != new.get(name)]
