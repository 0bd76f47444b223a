"""A module from another text beside the one of now: an earlier commit's, or one partly changed."""

import importlib.util
import sys


def variant(name: str, text: str):
    """As a module `indigohitch.NAME`, with the other modules of its package as they are."""
    spec = importlib.util.spec_from_loader(f"indigohitch.{name}", loader=None)
    found = importlib.util.module_from_spec(spec)
    found.__package__ = found.__name__.rpartition(".")[0]
    sys.modules[found.__name__] = found
    exec(compile(text, name, "exec"), found.__dict__)
    return found
