"""A fleet of real processes with a relay of faults between each pair, for the proofs and tests of the fleet.

    from fleetkit import Fleet, Player, drawn, until

    with Fleet(path, voters=5, sidecars=3, more=["edition 1", "seats geocoder 30"],
               pools=[Pool("nodes", ["127.0.0.1:9001", ...])]) as fleet:
        fleet.start()                       # all of them; returns once a leader is known and all have joined
        name = fleet.leader()               # "v1" .. are voters, "s1" .. sidecars
        fleet.kill(name)                    # SIGKILL; `stop`/`go_on`: SIGSTOP/SIGCONT; `end`: SIGTERM; `hup`
        fleet.breaker.cut_off(name)         # standins/breaker.py has the faults of links
        until(lambda: fleet.leader(but=name), 5)
        fleet.restart(name)                 # the same disk; `wipe(name)` before it: an empty one
        fleet.write(more=["edition 2", "seats geocoder 10"]); fleet.hup_all()
        told = fleet.note("v2", "text")     # a proposal, answered once applied there
        fleet.upgrade("v3")                 # by the hand-over of `upgrade/`
        fleet.jump("v2", 3600)              # its wall clock, from now on (a Fleet with clocks=True)
        fleet.status("v1")["fleet"]         # None while that one does not answer
        fleet.said("v1", "phase", now="serving")    # lines of its log
        fleet.listen["s1"]                  # where a sidecar takes RPCs
        player = Player(fleet, drawn(seed, fleet, seconds=20)).start(); ...; player.join()
        settled(fleet)                      # heal all, restart all, wait until their state machines are equal

Files: `files` (what operators write), `processes` (one member's process), `fleet` (all of them), `faults`
(seeded plans and who plays them), `checks` (what must hold at the end), `altered` (the program
with wrong clocks, or with a guard taken away: `Fleet(patch=FILE)` runs FILE in each member first)."""

import sys
from pathlib import Path

if str(Path(__file__).parent.parent.parent) not in sys.path:
    sys.path.insert(0, str(Path(__file__).parent.parent.parent))

from .checks import Notes, settled, state_machines  # noqa: E402
from .faults import Event, Player, drawn  # noqa: E402
from .files import Pool  # noqa: E402
from .fleet import DISKS, Fleet  # noqa: E402
from .processes import until  # noqa: E402

__all__ = [
    "DISKS",
    "Event",
    "Fleet",
    "Notes",
    "Player",
    "Pool",
    "state_machines",
    "drawn",
    "settled",
    "until",
]
