"""Applies a map of new names to one file, by syntax (libcst); `rename.py` runs it over the tree."""

from __future__ import annotations

import fnmatch
import re
from pathlib import Path

import libcst as cst
from libcst.helpers import get_absolute_module_from_package_for_import, get_full_name_for_node
from libcst.helpers.module import ModuleNameAndPackage
from libcst.metadata import FullyQualifiedNameProvider, MetadataWrapper, PositionProvider
from rename_map import AttributeRule, RenameMap


def module_of(path: str) -> ModuleNameAndPackage:
    """The dotted name and the package of a file, as the imports in it resolve; tests stand alone."""
    parts = list(Path(path).with_suffix("").parts)
    if parts[0] == "tests":
        parts = parts[1:]
    is_package = parts[-1] == "__init__"
    parts = parts[:-1] if is_package else parts
    return ModuleNameAndPackage(".".join(parts), ".".join(parts if is_package else parts[:-1]))


class Renamer(cst.CSTTransformer):
    """Applies a map to one file."""

    METADATA_DEPENDENCIES = (FullyQualifiedNameProvider, PositionProvider)

    def __init__(self, rename_map: RenameMap, path: str) -> None:
        self.map, self.path = rename_map, path
        self.here = module_of(path)
        self.rules: dict[str, list[AttributeRule]] = {}
        for rule in rename_map.attributes:
            if any(fnmatch.fnmatch(path, pattern) for pattern in rule.paths):
                self.rules.setdefault(rule.old, []).append(rule)
        self.old_names = {old.rsplit(".", 1)[1] for old in rename_map.symbols} | set(self.rules)
        self.found: list[str] = []
        self._imports = 0
        self._class_depth: list[bool] = []

    # ---- names -------------------------------------------------------------------------------------

    def _new_symbol(self, node: cst.CSTNode) -> str | None:
        """The new last component for a node that names a renamed symbol or module."""
        for qualified in self.get_metadata(FullyQualifiedNameProvider, node, set()):
            if qualified.name in self.map.symbols:
                return self.map.symbols[qualified.name]
            if qualified.name in self.map.modules:
                return self.map.modules[qualified.name].rsplit(".", 1)[1]
        return None

    def _old_symbol_is(self, node: cst.CSTNode, name: str) -> bool:
        return any(
            qualified.name.rsplit(".", 1)[-1] == name
            for qualified in self.get_metadata(FullyQualifiedNameProvider, node, set())
        )

    def visit_ImportFrom(self, node: cst.ImportFrom) -> bool:
        return False

    def visit_Import(self, node: cst.Import) -> bool:
        return False

    def leave_Name(self, original_node: cst.Name, updated_node: cst.Name) -> cst.Name:
        new = self._new_symbol(original_node)
        if new is not None and self._old_symbol_is(original_node, original_node.value):
            return updated_node.with_changes(value=new)
        return updated_node

    def leave_Attribute(self, original_node: cst.Attribute, updated_node: cst.Attribute) -> cst.Attribute:
        new = self._new_symbol(original_node)
        if new is not None and self._old_symbol_is(original_node, original_node.attr.value):
            return updated_node.with_changes(attr=cst.Name(new))
        base = cst.Module([]).code_for_node(original_node.value)
        name = original_node.attr.value
        for rule in self.rules.get(name, ()):
            if re.fullmatch(rule.base, base, re.DOTALL):
                self._note(original_node, f"{base}.{name} -> {rule.new}")
                return updated_node.with_changes(attr=cst.Name(rule.new))
        return updated_node

    # ---- definitions and keyword arguments of attributes -------------------------------------------

    def visit_ClassDef(self, node: cst.ClassDef) -> None:
        self._class_depth.append(True)

    def leave_ClassDef(self, original_node: cst.ClassDef, updated_node: cst.ClassDef) -> cst.ClassDef:
        self._class_depth.pop()
        return updated_node

    def visit_FunctionDef(self, node: cst.FunctionDef) -> None:
        self._class_depth.append(False)

    def leave_FunctionDef(
        self, original_node: cst.FunctionDef, updated_node: cst.FunctionDef
    ) -> cst.FunctionDef:
        self._class_depth.pop()
        if self._class_depth and self._class_depth[-1]:
            for rule in self.rules.get(original_node.name.value, ()):
                self._note(original_node, f"def {rule.old} -> {rule.new}")
                return updated_node.with_changes(name=cst.Name(rule.new))
        return updated_node

    def leave_AnnAssign(self, original_node: cst.AnnAssign, updated_node: cst.AnnAssign) -> cst.AnnAssign:
        if self._class_depth and self._class_depth[-1] and isinstance(original_node.target, cst.Name):
            for rule in self.rules.get(original_node.target.value, ()):
                self._note(original_node, f"field {rule.old} -> {rule.new}")
                return updated_node.with_changes(target=cst.Name(rule.new))
        return updated_node

    def leave_AssignTarget(
        self, original_node: cst.AssignTarget, updated_node: cst.AssignTarget
    ) -> cst.AssignTarget:
        if self._class_depth and self._class_depth[-1] and isinstance(original_node.target, cst.Name):
            for rule in self.rules.get(original_node.target.value, ()):
                self._note(original_node, f"class attribute {rule.old} -> {rule.new}")
                return updated_node.with_changes(target=cst.Name(rule.new))
        return updated_node

    def leave_Arg(self, original_node: cst.Arg, updated_node: cst.Arg) -> cst.Arg:
        if original_node.keyword is not None:
            for rule in self.rules.get(original_node.keyword.value, ()):
                if rule.keywords:
                    self._note(original_node, f"keyword {rule.old} -> {rule.new}")
                    return updated_node.with_changes(keyword=cst.Name(rule.new))
        return updated_node

    def leave_MatchKeywordElement(
        self, original_node: cst.MatchKeywordElement, updated_node: cst.MatchKeywordElement
    ) -> cst.MatchKeywordElement:
        for rule in self.rules.get(original_node.key.value, ()):
            if rule.keywords:
                return updated_node.with_changes(key=cst.Name(rule.new))
        return updated_node

    def visit_SimpleString(self, node: cst.SimpleString) -> None:
        text = node.raw_value
        if text in self.old_names or any(old in text for old in self.map.modules):
            self._note(node, f"STRING {node.value} looks like an old name")

    def leave_SimpleString(
        self, original_node: cst.SimpleString, updated_node: cst.SimpleString
    ) -> cst.SimpleString:
        kept = "golden" in self.path  # what was recorded keeps its words
        if original_node.raw_value in self.map.strings and not kept:
            new = self.map.strings[original_node.raw_value]
            quote = original_node.quote
            return updated_node.with_changes(value=f"{original_node.prefix}{quote}{new}{quote}")
        return updated_node

    def _note(self, node: cst.CSTNode, text: str) -> None:
        at = self.get_metadata(PositionProvider, node)
        self.found.append(f"{self.path}:{at.start.line}: {text}")

    # ---- imports -----------------------------------------------------------------------------------

    def leave_ImportFrom(self, original_node: cst.ImportFrom, updated_node: cst.ImportFrom) -> cst.ImportFrom:
        absolute = get_absolute_module_from_package_for_import(self.here.package, original_node)
        if absolute is None:
            return updated_node
        changes: dict[str, object] = {}
        if not isinstance(original_node.names, cst.ImportStar):
            changes["names"] = [self._alias(absolute, alias) for alias in original_node.names]
        new_absolute = self.map.new_module(absolute)
        if new_absolute != absolute and original_node.module is not None:
            # As many components as stood there: the dots before them lead to the same package.
            depth = len(get_full_name_for_node(original_node.module).split("."))
            kept = ".".join(new_absolute.split(".")[-depth:])
            changes["module"] = cst.parse_expression(kept)
        return updated_node.with_changes(**changes)

    def _alias(self, module: str, alias: cst.ImportAlias) -> cst.ImportAlias:
        name = alias.evaluated_name
        full = f"{module}.{name}"
        if full in self.map.symbols:
            return alias.with_changes(name=cst.Name(self.map.symbols[full]))
        if full in self.map.modules:
            return alias.with_changes(name=cst.Name(self.map.modules[full].rsplit(".", 1)[1]))
        return alias

    def leave_Import(self, original_node: cst.Import, updated_node: cst.Import) -> cst.Import:
        names = []
        for alias in original_node.names:
            new = self.map.new_module(alias.evaluated_name)
            names.append(alias.with_changes(name=cst.parse_expression(new)))
        return updated_node.with_changes(names=names)


class AttributeRenamer(Renamer):
    """The same for a map of attributes and strings only: names need not be resolved, which is slow."""

    METADATA_DEPENDENCIES = (PositionProvider,)

    def _new_symbol(self, node: cst.CSTNode) -> str | None:
        return None


def renamed(job: tuple[RenameMap, str]) -> tuple[str, str | None, list[str]]:
    """The new text of a file, None where nothing changes, and what the attribute rules met."""
    rename_map, path = job
    text = Path(path).read_text()
    if not rename_map.may_touch(path, text):
        return path, None, []
    kind = Renamer if rename_map.modules or rename_map.symbols else AttributeRenamer
    wrapper = MetadataWrapper(
        cst.parse_module(text), cache={FullyQualifiedNameProvider: module_of(path)}, unsafe_skip_copy=True
    )
    renamer = kind(rename_map, path)
    new = wrapper.visit(renamer).code
    return path, new if new != text else None, renamer.found
