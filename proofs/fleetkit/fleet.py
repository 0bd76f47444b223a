"""All members of a fleet, the relay between them, and what a proof does to them."""

from __future__ import annotations

import os
import shutil
import signal
import sys
import time
from pathlib import Path

from indigohitch import control
from indigohitch.standins.fault_proxy import FaultProxy

from .files import Place, Pool
from .processes import Member, program, until

# Short, for proofs of seconds: four elections to a lease, as the file's checks want it.
DISKS = Path(__file__).parent / "disks.py"
WAITS = ["wait lease 2s", "wait election 300ms", "wait beat 50ms", "drift 0.001"]


class Fleet:
    def __init__(
        self,
        path: Path | str,
        voters: int = 5,
        sidecars: int = 0,
        seed: int = 1,
        more: list[str] | None = None,
        pools: list[Pool] | None = None,
        waits: list[str] | None = None,
        each: dict[str, list[str]] | None = None,
        name: str = "proof",
        clocks: bool = False,
        drifts: dict[str, float] | None = None,
        environment: dict[str, str] | None = None,
        patch: Path | str = "",
        relay: bool = True,
    ) -> None:
        """`more`: lines of each file; `each`: further ones by member; `drifts`: by member, with `clocks`;
        `patch`: a Python file that each member runs first; no `relay`: members reach each other directly."""
        self.path, self.name, self.seed = Path(path), name, seed
        self.pools, self.waits, self.each = pools or [], WAITS if waits is None else waits, each or {}
        self.more, self.clocks, self.drifts = more or [], clocks, drifts or {}
        self.environment = (environment or {}) | ({"FLEET_PATCH": str(patch)} if patch else {})
        self.altered = clocks or bool(patch)
        self.breaker, self.relay = FaultProxy(seed), relay
        self.places: dict[str, Place] = {}
        self.members: dict[str, Member] = {}
        self.listed: dict[str, list[str]] = {}  # by member: whom its file lists, if not all
        self.told: list[tuple[float, str]] = []  # when (time.monotonic), what was done
        for n in range(voters):
            self.place(f"v{n + 1}", True)
        for n in range(sidecars):
            self.place(f"s{n + 1}", False, True)
        self.write()

    # ---- files ---------------------------------------------------------------------------------------

    def place(self, name: str, votes: bool, sidecar: bool = False) -> None:
        """One more member; `write` then tells the files."""
        folder = self.path / name
        folder.mkdir(parents=True, exist_ok=True)
        place = self.places[name] = Place(name, votes, folder, sidecar)
        environment = self.environment | (
            {
                "FLEET_FOLDER": str(folder),
                "FLEET_CLOCK": str(folder / "clock"),
                "FLEET_DRIFT": str(self.drifts.get(name, 0)),
            }
            if self.altered
            else {}
        )
        words = program("sidecar" if sidecar else "run", self.altered)
        self.members[name] = Member(folder, words, place.file, place.control, environment)

    def write(self, more: list[str] | None = None, only: list[str] | None = None) -> None:
        """The files, anew; `more` instead of the lines so far; `only`: of these members."""
        if more is not None:
            self.more = more
        for name in only or self.places:
            place = self.places[name]
            lines = [*self.waits, *self.more, *self.each.get(name, [])]
            if self.altered:
                command = program("sidecar" if place.listen else "run", True)
                lines.append(" ".join(["program", *command, str(place.file)]))
            if place.listen:
                lines += [line for pool in self.pools for line in pool.lines()]
            place.write(
                self.name,
                [
                    (other.name, self.address(place, other), other.votes)
                    for other in self.places.values()
                    if other.name in self.listed.get(name, self.places)
                ],
                lines,
            )

    def address(self, place: Place, other: Place) -> str:
        at = other.at
        if self.relay and place is not other:
            at = self.breaker.gate(place.name, other.name, at)
        return f"{at[0]}:{at[1]}"

    @property
    def listen(self) -> dict[str, str]:
        return {name: place.listen for name, place in self.places.items() if place.listen}

    @property
    def voters(self) -> list[str]:
        return [name for name, place in self.places.items() if place.votes]

    # ---- all of them ---------------------------------------------------------------------------------

    def start(self, most: float = 30.0, wait: bool = True) -> Fleet:
        for name in self.members:
            self.restart(name)
        if wait:
            self.ready(most)
        return self

    def ready(self, most: float = 30.0, names: list[str] | None = None) -> None:
        """A leader is known, and each of `names` (all) has taken what it has and holds an incarnation."""
        for name in names or self.members:
            until(lambda name=name: self.stands(name), most, f"{name} to join")

    def stands(self, name: str) -> bool:
        found = self.of_fleet(name)
        return bool(found and found.get("leader") and found.get("incarnation"))

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *bad) -> None:
        self.close()

    def close(self) -> None:
        for member in self.members.values():
            member.signal(signal.SIGKILL)
        for member in self.members.values():
            member.ended()
        for place in self.places.values():
            place.close()
        self.breaker.close()

    # ---- asked ---------------------------------------------------------------------------------------

    def ask(self, name: str, what: str, wait: float = 1.0) -> dict | None:
        return self.members[name].ask(what, wait) if name else None  # no leader: no answer

    def status(self, name: str) -> dict | None:
        return self.ask(name, "status")

    def of_fleet(self, name: str) -> dict | None:
        return (self.status(name) or {}).get("fleet")

    def leader(self, but: str = "") -> str:
        """Who leads in the highest term, by those that answer; "" if nobody does."""
        found = [
            (told["term"], name)
            for name in self.voters
            if name != but and (told := self.of_fleet(name)) and told["role"] == "leader"
        ]
        return max(found)[1] if found else ""

    def note(self, name: str, text: str, wait: float = 5.0) -> dict | None:
        """A proposal through that member: {"index": n} once applied there; None: not known."""
        return self.ask(name, f"note {text}", wait)

    def said(self, name: str, event: str, **words) -> list[dict]:
        return self.members[name].said(event, **words)

    def noise(self) -> list[str]:
        return [f"{name}: {line}" for name, member in self.members.items() for line in member.noise()]

    # ---- done to them --------------------------------------------------------------------------------

    def did(self, what: str) -> None:
        self.told.append((time.monotonic(), what))

    def kill(self, name: str) -> None:
        self.did(f"kill {name}")
        self.members[name].kill()

    def restart(self, name: str) -> None:
        """Start it, if it does not run."""
        if not self.members[name].runs:
            self.did(f"start {name}")
            self.members[name].start()

    def stop(self, name: str) -> None:
        self.did(f"stop {name}")
        self.members[name].signal(signal.SIGSTOP)

    def go_on(self, name: str) -> None:
        self.did(f"go_on {name}")
        self.members[name].signal(signal.SIGCONT)

    def end(self, name: str) -> None:
        """An orderly end, waited for."""
        self.did(f"end {name}")
        self.members[name].signal(signal.SIGTERM)
        self.members[name].ended()

    def hup(self, name: str) -> None:
        self.did(f"hup {name}")
        self.members[name].signal(signal.SIGHUP)

    def hup_all(self) -> None:
        for name in self.members:
            self.hup(name)

    def wipe(self, name: str) -> None:
        """Kill it and lose its disk; `restart` starts it with an empty one."""
        self.kill(name)
        self.did(f"wipe {name}")
        shutil.rmtree(self.places[name].ledger, ignore_errors=True)

    def upgrade(self, name: str, wait: float = 30.0) -> dict | None:
        """What the member answered: {"result": "upgraded", ...}."""
        self.did(f"upgrade {name}")
        try:
            told = control.send_command(self.places[name].control, "upgrade", wait)
        except (OSError, ValueError):
            return None
        until(lambda: len(self.members[name].pids()) <= 1, wait, f"the process that {name} replaced to end")
        return told

    def fill(self, name: str, on: bool = True) -> None:
        """Its disk is full (patch=DISKS), or has room again."""
        assert self.altered, "a Fleet with patch=DISKS is wanted"
        self.did(f"disk of {name} {'full' if on else 'has room'}")
        path = self.places[name].folder / "full"
        path.touch() if on else path.unlink(missing_ok=True)

    def jump(self, name: str, seconds: float) -> None:
        """Its wall clock is off by that, from now on."""
        assert self.clocks, "a Fleet with clocks=True is wanted"
        self.did(f"jump {name} {seconds:g}")
        path = self.places[name].folder / "clock"
        part = path.with_suffix(".part")
        part.write_text(f"{seconds}")
        os.rename(part, path)

    def show(self, out=sys.stderr) -> None:
        """What each one says, for who looks for a defect."""
        for name in self.members:
            print(name, self.of_fleet(name), file=out)
