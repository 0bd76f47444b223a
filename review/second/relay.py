"""Stand-in of the platform's relay and store, and of the proxies whose streams go to it.

A slice has one table, kept in the store, and is in the charge of one coordinator. Where the deployment is
exclusive, a table has one line, and a new backend replaces the old. Proxies hold copies: they read the store
when they join and when a slice is given, and apply the messages that come of each call, in order, some time
later.
"""

import asyncio
from urllib.parse import parse_qs, urlencode

from links import Listener, answer, fail_loudly, read_request


class Proxy:
    """A proxy: its copy of the tables and levels, and the messages on their way to it."""

    def __init__(self, number, zone, world):
        self.number = number
        self.zone = zone
        self.world = world
        self.lines = {}  # weights by backend, by slice
        self.levels = {}  # admitted share by slice and method
        self.out = set()  # backends shut out, each with the coordinator that ordered it
        self.queue = asyncio.Queue()
        task = asyncio.get_running_loop().create_task(self._apply_messages())
        task.add_done_callback(fail_loudly)

    def usable(self, table):
        """Returns the lines of a slice whose backends are not shut out."""
        name = self.world.charge[table]
        lines = self.lines.get(table, {})
        return {backend: weight for backend, weight in lines.items() if (name, backend) not in self.out}

    async def _apply_messages(self):
        loop = asyncio.get_running_loop()
        while True:
            due, orders, office = await self.queue.get()
            await asyncio.sleep(max(0, due - loop.time()))
            for order in orders:
                self._apply(order, office)

    def _apply(self, order, office):
        kind, *words = order.split(",")
        if kind == "fence":
            office.tell("done", id=self.number, seq=words[0], ms=200.0)
            return
        if kind == "read":  # from the store, as the slice was given to another coordinator
            self.read(int(words[0]))
            return
        if kind in ("eject", "uneject"):
            (self.out.add if kind == "eject" else self.out.discard)((office.name, words[0]))
            return
        tables = office.slices() if words[0] == "*" else [int(words[0])]
        for table in tables:
            if kind == "put":
                self.world.change(self.lines.setdefault(table, {}), words[1], float(words[2]))
            elif kind == "gate" and words[0] != "*":
                for method in self.world.methods if words[1] == "*" else words[1].split("+"):
                    self.levels[table, method] = float(words[2])

    def read(self, table):
        """Reads the line of a slice in the store, which comes without levels."""
        self.lines[table] = dict(self.world.store[table])
        for method in self.world.methods:
            self.levels[table, method] = 1.0


class Office:
    """The relay as one coordinator sees it: an address of its own, calls and news."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.streams = []
        self.calls = 0
        self.news_delay = 0.0  # s until the news begin to come
        self.listener = Listener(self._serve)

    def slices(self):
        """Returns the slices in this coordinator's charge."""
        return [number for number, name in self.world.charge.items() if name == self.name]

    async def _serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            method, target, body = request
            if method == "GET" and target == "/stream":
                await self._stream(writer)
                return
            self._call(writer, parse_qs(body)["orders"][0].split(";"))
            await writer.drain()

    def _call(self, writer, orders):
        if not self.world.has_begun:
            answer(writer, "<Response><Error><Code>Throttling</Code></Error></Response>", "400 Bad Request")
            return
        self.calls += 1
        mine = set(self.slices())
        effective = []
        for order in orders:
            kind, *words = order.split(",")
            if kind in ("put", "gate", "wipe") and words[0] != "*" and int(words[0]) not in mine:
                continue  # counts as taken and changes nothing
            if kind == "put":
                self.world.put(int(words[0]), words[1], float(words[2]))
            effective.append(order)
        self.world.note(f"call {self.name}: {';'.join(orders)[:300]}")
        for proxy in self.world.proxies:
            self.world.send(proxy, effective, self)
        text = f"<Response><results><item><ok_count>{len(orders)}</ok_count></item></results></Response>"
        answer(writer, '<?xml version="1.0"?>\n' + text, kind="application/xml")

    def tell(self, kind, **words):
        """Sends an event to the open streams."""
        for queue in self.streams:
            queue.append(f"event: {kind}\ndata: {urlencode(words)}\n\n")

    def give(self, table):
        """Tells that a slice was given, and its line."""
        self.tell("owner", range=table, flag=1)
        for backend, weight in self.world.store[table].items():
            self.tell("entry", range=table, target=backend, rps=weight)

    async def _stream(self, writer):
        await asyncio.sleep(self.news_delay)
        queue = []
        self.streams.append(queue)
        self.world.judge.joined(self.name)
        for proxy in self.world.proxies:
            self.tell_one(queue, "attach", id=proxy.number, site=proxy.zone, rps=8.0, new=0)
        for table in self.slices():
            self.tell_one(queue, "owner", range=table, flag=1)
            for backend, weight in self.world.store[table].items():
                self.tell_one(queue, "entry", range=table, target=backend, rps=weight)
        queue.append(":\n\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        loop = asyncio.get_running_loop()
        sign_at = loop.time() + 1
        try:
            while not writer.transport.is_closing():
                if loop.time() >= sign_at:
                    queue.append(":\n\n")
                    sign_at += 1
                events = "".join(queue).encode()
                queue.clear()
                if events and not self.listener.is_cut:
                    writer.write(b"%x\r\n%b\r\n" % (len(events), events))
                    await writer.drain()
                await asyncio.sleep(0.005)
        finally:
            self.streams = [other for other in self.streams if other is not queue]

    @staticmethod
    def tell_one(queue, kind, **words):
        """Adds an event for one stream."""
        queue.append(f"event: {kind}\ndata: {urlencode(words)}\n\n")
