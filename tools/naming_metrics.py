"""Counts names, assignments, docstrings and annotations that a newcomer would stumble over, by syntax tree.

    python tools/naming_metrics.py                 # the table: control files, whole package
    python tools/naming_metrics.py PATH ...        # each finding in these files

A definition counts once a file: a class, function, parameter, attribute, field or variable.
"""

from __future__ import annotations

import ast
import re
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path

PLAIN = set(
    """
    told tell tells ask asked asking asker askers tries tried held holds holding holdings news room
    rooms trouble troubles troubled gone come comes came goes went stands stood whole gather
    gathering gathered worth wanted
    """.split()
)
HOUSE = set(
    """
    said say says heard hear hears hearing words word giver giving taker taking doubt doubted
    doubtful anew begun began shots shot spoilt harmed mend mended withdrawn strain strained
    stranger strangers figures further lets unsaid unheard torn garbled aside beside loose maybe
    knock yonder most least many again upto meanwhile lately
    """.split()
)
BARE = {
    "out",
    "at",
    "more",
    "one",
    "other",
    "others",
    "some",
    "it",
    "them",
    "who",
    "whose",
    "left",
    "own",
    "by",
}
# Names of one or two letters that are the field's own, or Python's.
SHORT_TERMS = {"_", "id", "ok", "io", "os", "fd", "to", "ip", "up", "T", "K", "V", "on", "no"}
KINDS = ("plain", "house", "short", "crammed", "docstring", "annotation")


def parts(name: str) -> list[str]:
    """The words of an identifier, lower case."""
    return [word.lower() for word in re.findall(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+|\d+", name)]


def definitions(tree: ast.Module) -> Iterator[tuple[str, int]]:
    """Each name that a file binds, with its line; comprehension variables are not among them."""
    inside = {
        id(name)
        for node in ast.walk(tree)
        if isinstance(node, ast.comprehension)
        for name in ast.walk(node.target)
    }
    for node in ast.walk(tree):
        match node:
            case ast.ClassDef() | ast.FunctionDef() | ast.AsyncFunctionDef():
                yield node.name, node.lineno
            case ast.arg():
                yield node.arg, node.lineno
            case ast.Attribute(ctx=ast.Store(), value=ast.Name(id="self")):
                yield node.attr, node.lineno
            case ast.Name(ctx=ast.Store()) if id(node) not in inside:
                yield node.id, node.lineno


def is_crammed(node: ast.AST) -> bool:
    """Several values put into several targets by one statement, each of which could have its own."""
    return (
        isinstance(node, ast.Assign)
        and isinstance(node.value, ast.Tuple)
        and any(isinstance(target, ast.Tuple) for target in node.targets)
    ) or (isinstance(node, ast.Assign) and len(node.targets) > 1)


def public_items(tree: ast.Module) -> Iterator[ast.Module | ast.ClassDef | ast.FunctionDef]:
    """The module, its public classes and functions, and their public methods."""
    yield tree
    for node in tree.body:
        if isinstance(node, ast.ClassDef | ast.FunctionDef) and not node.name.startswith("_"):
            yield node
            if isinstance(node, ast.ClassDef):
                for member in node.body:
                    if isinstance(member, ast.FunctionDef) and not member.name.startswith("_"):
                        yield member


def is_unannotated(node: ast.FunctionDef) -> bool:
    """A parameter or the result has no annotation."""
    arguments = [*node.args.posonlyargs, *node.args.args, *node.args.kwonlyargs]
    bare = [one for one in arguments if one.annotation is None and one.arg not in ("self", "cls")]
    return bool(bare) or node.returns is None


def findings(path: Path) -> list[tuple[str, str, int]]:
    """Kind, name and line of each finding in a file."""
    tree = ast.parse(path.read_text())
    found: list[tuple[str, str, int]] = []
    seen: set[str] = set()
    for name, line in definitions(tree):
        if name in seen:
            continue
        seen.add(name)
        words = parts(name)
        if set(words) & PLAIN:
            found.append(("plain", name, line))
        if set(words) & HOUSE or name in BARE:
            found.append(("house", name, line))
        if len(name.strip("_")) in (1, 2) and name.strip("_") not in SHORT_TERMS:
            found.append(("short", name, line))
    for node in ast.walk(tree):
        if is_crammed(node):
            found.append(("crammed", ast.unparse(node)[:60], node.lineno))
        if isinstance(node, ast.FunctionDef) and is_unannotated(node):
            found.append(("annotation", node.name, node.lineno))
    for item in public_items(tree):
        if ast.get_docstring(item) is None:
            found.append(("docstring", getattr(item, "name", path.name), getattr(item, "lineno", 1)))
    return found


def control_files() -> list[Path]:
    """The files named by `policy` and `node` in the deploy file."""
    deploy = tomllib.loads(Path("deploy/balancer.toml").read_text())
    named = [Path(name) for name in deploy["policy"] + deploy["node"]]
    return [file for path in named for file in (sorted(path.rglob("*.py")) if path.is_dir() else [path])]


def row(name: str, files: list[Path]) -> str:
    """A row of the table."""
    counts = dict.fromkeys(KINDS, 0)
    for file in files:
        for kind, _, _ in findings(file):
            counts[kind] += 1
    return f"| {name} | {len(files)} | " + " | ".join(str(counts[kind]) for kind in KINDS) + " |"


def main(arguments: list[str]) -> int:
    """Prints the table, or the findings in the files named."""
    if not arguments:
        print("| | files | " + " | ".join(KINDS) + " |")
        print(row("control", control_files()))
        print(row("whole package", sorted(Path("indigohitch").rglob("*.py"))))
        return 0
    for argument in arguments:
        path = Path(argument)
        for file in sorted(path.rglob("*.py")) if path.is_dir() else [path]:
            for kind, name, line in findings(file):
                print(f"{file}:{line}: {kind}: {name}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
