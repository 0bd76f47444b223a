"""Versions and traces through the program's Python names, the only ones that the proof uses.

    python names.py previous|present write FOLDER SIZE   versions, as JSON on standard input says
    python names.py previous|present read FOLDER         what the folder holds, as JSON
    python names.py previous|present requests FILE       what a trace holds, as JSON

Run by the interpreter of a ProgramText.  The previous version is the commit in the environment variable
PREVIOUS; `Previous` has the names of the default one and is never renamed, nor are the classes of later
commits.  `Present` overrides each method in which this checkout has another name."""

from __future__ import annotations

import json
import os
import sys


class Previous:
    """Names of commit 41d95bd.  A renaming of this checkout leaves this class as it is."""

    REQUEST = (
        "at",
        "method",
        "target",
        "rpc",
        "unsafe",
        "connection",
        "file",
        "line",
        "status",
        "took",
        "size",
    )

    def open(self, folder: str, size: int):
        from indigohitch.fleet.disk.files import Files

        from indigohitch.versions.store import Store

        store = Store(Files(), folder, size)
        store.open()
        return store

    def write(self, folder: str, size: int, plan: dict) -> None:
        """Each version with all its lines, then names, then the pin."""
        from indigohitch.versions.tables import root_of
        from indigohitch.versions.terms import Version

        store = self.open(folder, size)
        for one in plan["versions"]:
            root = root_of({int(number): lines for number, lines in one["tables"].items()})
            newest = store.history.newest
            parent = newest.version_id if newest is not None else None
            store.add(Version(one["number"], root, parent, one["cause"], one["at"]))
        for name, number in plan["names"].items():
            store.name(name, number)
        store.pin(*plan["pin"])
        store.close()

    def read(self, folder: str) -> dict:
        store = self.open(folder, 1 << 20)
        pinned = store.pinned
        found = {
            "versions": [
                {
                    "number": number,
                    "tables": {str(slice): dict(table.lines) for slice, table in version.root.items()},
                    "cause": version.cause,
                    "at": version.at,
                    "parent": version.parent.text() if version.parent is not None else "",
                    "id": version.version_id.text(),
                }
                for number, version in store.history.by_number.items()
            ],
            "names": dict(sorted(store.history.names.items())),
            "pin": [pinned.number, pinned.by, pinned.at] if pinned is not None else None,
        }
        store.close()
        return found

    def requests(self, path: str) -> list:
        from indigohitch.load.trace import Trace

        trace = Trace(path)
        found = [
            [number, *(getattr(request, name) for name in self.REQUEST), request.body.decode()]
            for number, request in trace.requests()
        ]
        trace.close()
        return found


class StorageRenamed(Previous):
    """Names of commit 6b94763, where they differ from 41d95bd.  Never renamed either."""

    def open(self, folder: str, size: int):
        from indigohitch.fleet.storage.files import FileSystem
        from indigohitch.versions.store import Store

        store = Store(FileSystem(), folder, size)
        store.open()
        return store


class Present(StorageRenamed):
    """Names of this checkout, where they differ from 6b94763."""


LATER_COMMITS = {"6b94763": StorageRenamed}  # previous versions with other names than the default one


def main(which: str, action: str, path: str, size: str = "0") -> None:
    previous = LATER_COMMITS.get(os.environ.get("PREVIOUS", ""), Previous)
    names = {"previous": previous, "present": Present}[which]()
    if action == "write":
        names.write(path, int(size), json.load(sys.stdin))
    else:
        print(json.dumps({"read": names.read, "requests": names.requests}[action](path)))


if __name__ == "__main__":
    main(*sys.argv[1:])
