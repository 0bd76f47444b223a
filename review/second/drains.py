"""The judge of the rule on drains: what proxies send to backends that drain or are gone."""

import asyncio


class DrainJudge:
    """Checks each send of a proxy.

    Broken: a proxy sends to a backend later than the grace (and the slack of 300 ms on sockets) after the
    coordinator in charge was told that it drains or is gone, or after it was given the slice or had news of
    the proxies that are joined, if that is later. A change counts as told once discovery has written it to
    the coordinator, 6 s later at the latest.
    """

    TOLD_AT_THE_LATEST = 6.0
    SLACK = 0.3

    def __init__(self, world):
        self.world = world
        self.grace = world.settings["rules"]["drain-grace"] / 1000
        self.listed_at = {}  # when a backend was listed as draining or gone
        self.told_at = {}  # when a coordinator was told of it
        self.given_at = {}  # by slice
        self.joined_at = {}  # when the latest news stream of a coordinator began
        self.broken = []
        self.loop = asyncio.get_running_loop()

    def leaves(self, backend):
        """Records that the list shows the backend as draining or gone."""
        self.listed_at.setdefault(backend, self.loop.time())

    def owner(self, number, backend):
        """Records a line in the store."""
        self.world.note(f"store: slice {number} gets a line at {backend}")

    def given(self, number):
        """Records that a slice was given to a coordinator."""
        self.given_at[number] = self.loop.time()

    def joined(self, coordinator):
        """Records that a coordinator has opened its news, which begin with all proxies that are joined."""
        self.joined_at[coordinator] = self.loop.time()

    def told(self, coordinator):
        """Records that discovery has written its list to a coordinator."""
        for backend in self.listed_at:
            if (coordinator, backend) not in self.told_at:
                self.told_at[coordinator, backend] = self.loop.time()
                self.world.note(f"discovery has told {coordinator} that {backend} leaves")

    def begin(self, number, backend, name):
        """Does nothing: the rule is about sends."""

    end = begin

    def send(self, proxy, number, backend):
        """Checks a send."""
        if backend.name not in self.listed_at:
            return
        coordinator = self.world.charge[number]
        at_the_latest = self.listed_at[backend.name] + self.TOLD_AT_THE_LATEST
        told = min(self.told_at.get((coordinator, backend.name), at_the_latest), at_the_latest)
        begin = max(told, self.given_at.get(number, 0.0), self.joined_at.get(coordinator, 0.0))
        over = self.loop.time() - begin - self.grace - self.SLACK
        if over > 0:
            self.broken.append((number, backend.name))
            self.world.note(
                f"BROKEN: proxy {proxy.number} sends to {backend.name} for slice {number} of {coordinator}, "
                f"{over:.3f} s after the time limit"
            )
