"""What `rename.py` is to rename: its map file, read."""

from __future__ import annotations

import fnmatch
import tomllib
from dataclasses import dataclass, field
from pathlib import Path


@dataclass(slots=True)
class AttributeRule:
    """An attribute, method or field that is renamed wherever its name stands in the given places."""

    old: str
    new: str
    paths: list[str] = field(default_factory=lambda: ["*"])
    base: str = ".*"
    keywords: bool = True


@dataclass(slots=True)
class RenameMap:
    """All that one run renames."""

    modules: dict[str, str]
    symbols: dict[str, str]
    attributes: list[AttributeRule]
    strings: dict[str, str]

    @classmethod
    def load(cls, path: str) -> RenameMap:
        """Raises OSError, tomllib.TOMLDecodeError, TypeError where the file is not of this form."""
        found = tomllib.loads(Path(path).read_text())
        rules = [AttributeRule(**rule) for rule in found.get("attributes", [])]
        return cls(found.get("modules", {}), found.get("symbols", {}), rules, found.get("strings", {}))

    def new_module(self, dotted: str) -> str:
        """The dotted name after the moves; the longest prefix in the map counts, and prefixes of it too."""
        parts = dotted.split(".")
        for length in range(len(parts), 0, -1):
            prefix = ".".join(parts[:length])
            if prefix in self.modules:
                return ".".join([self.modules[prefix], *parts[length:]])
        return dotted

    def may_touch(self, path: str, text: str) -> bool:
        """Whether any old name that counts in this file stands in its text at all: parsing is slow."""
        dotted = [*self.modules, *self.symbols]
        old = {name.rsplit(".", 1)[1] for name in dotted}
        for rule in self.attributes:
            if any(fnmatch.fnmatch(path, pattern) for pattern in rule.paths):
                old.add(rule.old)
        return any(name in text for name in old | set(self.strings))
