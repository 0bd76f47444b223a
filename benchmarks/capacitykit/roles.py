"""The roles of docs/CAPACITY.md out of `roles.toml`, and the values of their formulas."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from . import givens
from .costs import Costs

FILE = Path(__file__).with_name("roles.toml")


@dataclass(slots=True, frozen=True)
class Figure:
    """`formula` empty: not measured yet."""

    what: str
    formula: str
    budget: str = ""
    later: str = ""


@dataclass(slots=True, frozen=True)
class Role:
    name: str
    modules: str
    state: str
    figures: tuple[Figure, ...]

    def figure(self, what: str) -> Figure:
        return next(figure for figure in self.figures if figure.what == what)


@dataclass(slots=True, frozen=True)
class Page:
    """`entries`: formula of what the ledger takes a second."""

    entries: str
    roles: tuple[Role, ...]

    def role(self, name: str) -> Role:
        """By how its name begins."""
        return next(role for role in self.roles if role.name.startswith(name))


def read(file: Path = FILE) -> Page:
    found = tomllib.loads(file.read_text())
    roles = [
        Role(
            role["name"],
            role["modules"],
            role["state"],
            tuple(Figure(**figure) for figure in role["figure"]),
        )
        for role in found["role"]
    ]
    return Page(found["entries"], tuple(roles))


class Values:
    """Evaluates formulas.  They come from this repository's own file and may call nothing but what is given
    here."""

    def __init__(self, costs: Costs, page: Page, changed: Mapping[str, float] | None = None) -> None:
        """`changed`: other values of some givens, to see how an answer moves."""
        self.page = page
        self.names = givens.names() | dict(changed or {})
        self.functions = {
            "cost": costs.of,
            "base": costs.base,
            "subscription": costs.subscription,
            "min": min,
            "max": max,
        }

    def value(self, formula: str, condition: givens.Condition) -> float:
        names = dict(self.names)
        for name in ("changes", "back", "missed"):
            names[name] = self.evaluated(getattr(condition, name), names)
        names["entries"] = self.evaluated(self.page.entries, names)
        return self.evaluated(formula, names)

    def evaluated(self, formula: str, names: Mapping[str, float]) -> float:
        return float(eval(formula, {"__builtins__": {}}, {**self.functions, **names}))
