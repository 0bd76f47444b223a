"""Run first by a member of proofs/audit.py (Fleet(patch=...)): its state differs from when a file `differ`
stands in its folder.  AUDIT_BROKEN=1 takes the guard away that lets it act under a valid lease only."""

import os
from pathlib import Path

from indigohitch.fleet.membership.member_work import Membership
from indigohitch.fleet.node.notes import Notes
from indigohitch.fleet.types import Lease

_apply, _DIFFER = Notes.apply, Path(os.environ.get("FLEET_FOLDER", "/nowhere")) / "differ"


def apply(self, at, word, body):
    told = _apply(self, at, word, body)
    if _DIFFER.exists():
        self.texts[-1] = (at.index, "something else")
    return told


Notes.apply = apply


def lease(self, now):
    return Lease(self.incarnation, now + 20_000) if self.incarnation else None


if os.environ.get("AUDIT_BROKEN") == "1":
    Membership.lease = lease
