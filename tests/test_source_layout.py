"""Source files stay small (those over 250 lines are listed in .ci/long-files.txt); no imports in a circle."""

import ast
import subprocess
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MOST_LINES = 250


def python_files() -> list[str]:
    named = subprocess.run(["git", "ls-files", "*.py"], cwd=ROOT, capture_output=True, text=True, check=True)
    return [name for name in named.stdout.splitlines() if (ROOT / name).exists()]


def test_no_file_is_long_but_those_listed():
    listed = {
        line
        for line in (ROOT / ".ci" / "long-files.txt").read_text().splitlines()
        if line and not line.startswith("#")
    }
    long = {name for name in python_files() if len((ROOT / name).read_text().splitlines()) > MOST_LINES}
    assert long == listed


def modules() -> dict[str, Path]:
    """The package's modules by dotted name."""
    found = {}
    for path in (ROOT / "indigohitch").rglob("*.py"):
        parts = path.relative_to(ROOT).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


def base_of(node: ast.ImportFrom, package: list[str]) -> str:
    """The dotted name that a `from` import begins at."""
    outer = package[: len(package) - (node.level - 1)] if node.level else []
    return ".".join([*outer, *([node.module] if node.module else [])])


def proofs() -> dict[str, Path]:
    """The modules of proofs/, which import each other without or with the folder's name."""
    folder = ROOT / "proofs"
    found = {}
    for path in folder.rglob("*.py"):
        parts = path.relative_to(folder).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


def imported(name: str, path: Path, known: dict[str, Path]) -> set[str]:
    """Modules of the package that this one names in any import, also in functions and under TYPE_CHECKING."""
    package = name.split(".") if path.name == "__init__.py" else name.split(".")[:-1]
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            base = base_of(node, package).removeprefix("proofs.")
            members = {f"{base}.{alias.name}" for alias in node.names}
            found.update(member if member in known else base for member in members)
    return (found & known.keys()) - {name}


def without_ends(graph: dict[str, set[str]]) -> dict[str, set[str]]:
    """The graph less the modules that import none of it, then less those that now import none, ..."""
    left = {name: set(others) for name, others in graph.items()}
    while ends := [name for name, others in left.items() if not others]:
        for name in ends:
            del left[name]
        for others in left.values():
            others.difference_update(ends)
    return left


def reversed_graph(graph: dict[str, set[str]]) -> dict[str, set[str]]:
    return {name: {other for other, others in graph.items() if name in others} for name in graph}


def circles(graph: dict[str, set[str]]) -> list[str]:
    """Modules on a circle of imports, or between two circles."""
    return sorted(without_ends(reversed_graph(without_ends(graph))))


def test_no_module_imports_itself_through_others():
    known = modules()
    assert len(known) > 200
    assert circles({name: imported(name, path, known) for name, path in known.items()}) == []


def test_no_proof_imports_itself_through_others():
    known = proofs()
    assert len(known) > 60
    assert circles({name: imported(name, path, known) for name, path in known.items()}) == []


def test_a_circle_under_type_checking_or_in_a_function_is_found(tmp_path):
    texts = {
        "p.a": "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    from .b import B\n",
        "p.b": "def late():\n    from . import c\n",
        "p.c": "import p.a\n",
        "p.d": "from .a import A\n",
        "p.e": "import os\n",
    }
    known = {name: tmp_path / f"{name}.py" for name in texts}
    for name, path in known.items():
        path.write_text(texts[name])
    graph = {name: imported(name, path, known) for name, path in known.items()}
    assert circles(graph) == ["p.a", "p.b", "p.c"]
    assert circles({"p.d": {"p.e"}, "p.e": set()}) == []
