"""Stand-in of a backend: takes requests over HTTP, each for its working time, and answers probes."""

import asyncio

from links import Listener, answer, http


class Backend:
    """A server: takes writes over HTTP, each for its working time, and answers probes."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.state = "SERVING"
        self.started_at_ms = 0
        self.listener = Listener(http(self._handle))
        self.probe_listeners = {}  # by coordinator, so that a link can be cut

    async def _handle(self, writer, method, target, body):
        if method == "GET":
            answer(writer, '{"inflight":0,"util":0.1,"latency_ms":120.0}')
            return
        words = dict(pair.split("=") for pair in target.partition("?")[2].split("&"))
        number = int(words["slice"])
        is_write = words["method"] == self.world.write_method
        if is_write:
            self.world.judge.begin(number, self.name, words["id"])
        await asyncio.sleep(self.world.chance.uniform(*self.world.work))
        if is_write:
            self.world.judge.end(number, self.name, words["id"])
        answer(writer, "done", kind="text/plain")

    def die(self):
        """Ends the server: its connections are reset and new ones refused."""
        self.listener.close()
        for listener in self.probe_listeners.values():
            listener.close()

    def probe_address(self, coordinator):
        """Returns the address that discovery tells this coordinator."""
        if coordinator not in self.probe_listeners:
            self.probe_listeners[coordinator] = Listener(http(self._handle))
        return self.probe_listeners[coordinator].address
