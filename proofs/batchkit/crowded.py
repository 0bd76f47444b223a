"""A stand-in server with so many cores: an RPC takes longer once more are under way.  For proofs of strain.

python crowded.py HOST:PORT NAME MS CORES"""

import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent.parent))

from indigohitch.net.clock import Clock  # noqa: E402
from indigohitch.net.connection import parse_address  # noqa: E402
from indigohitch.net.loop import EventLoop  # noqa: E402
from indigohitch.standins.server import Server  # noqa: E402


class Crowded(Server):
    base, cores = 0.0, 1

    @property
    def service(self) -> float:
        busy = sum(peer.busy for peer in self.peers)
        return self.base * max(1.0, busy / self.cores)

    @service.setter
    def service(self, ms: float) -> None:
        self.base = ms


def main(at: str, name: str, ms: str, cores: str) -> None:
    def failed(broken: BaseException) -> None:
        print(f"stand-in: {type(broken).__name__}: {broken}", file=sys.stderr, flush=True)

    loop = EventLoop(Clock(), failed)
    Crowded(loop, name, parse_address(at), float(ms)).cores = int(cores)
    print(f"{name} on {at}", flush=True)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    while True:
        loop.turn()


if __name__ == "__main__":
    main(*sys.argv[1:])
