"""A Relay between a client that answers when told and a channel that counts what was carried out."""

import os
from urllib.parse import parse_qs

from indigohitch import interface as face
from indigohitch.log import Log
from indigohitch.net.clock import SECOND
from indigohitch.net.http import Answer
from indigohitch.net.loop import Loop
from indigohitch.platformlink import relay as calls
from indigohitch.platformlink.backlog import Backlog
from seam import Shifted


class Told:
    """In the place of net.http.Client."""

    def __init__(self, loop, to, *spans):
        self.to, self.asked, self.retired = to, [], False

    def request(self, method, target, span, done, body, kind):
        self.asked.append((parse_qs(body.decode())["orders"][0], done))

    def retire(self):
        self.retired = True


class Room:
    def __init__(self, monkeypatch, most=0, over=0, backlog=None, proxies=0, head=0):
        monkeypatch.setattr(calls, "Client", Told)
        self.clock = Shifted()
        self.loop = Loop(self.clock, self.fail)
        self.log = Log(self.clock, "t", os.open(os.devnull, os.O_WRONLY))
        self.proxies = proxies
        self.relay = calls.Relay(
            self.loop,
            self.log,
            ("127.0.0.1", 1),
            ["search"],
            most,
            over,
            backlog or Backlog(0, 0),
            lambda: self.proxies,
            head,
        )
        self.stand, self.void = [], []
        self.relay.stands, self.relay.dropped = self.stand.extend, self.void.extend

    def fail(self, broken):
        raise broken

    def order(self, *weights, table=1):
        self.relay.order([face.SetLine(table, "b1", float(w)) for w in weights])

    def out(self):
        """The call that is out, and who hears of it."""
        assert self.relay.out
        return self.relay.client.asked[-1]

    def answer(self, outcome="answered", taken=1, code=""):
        body = (
            f"<R><Error><Code>{code}</Code></Error></R>"
            if code
            else f"<R><results><item><ok_count>{taken}</ok_count></item></results></R>"
        )
        self.out()[1](Answer(outcome, 400 if code else 200, body.encode()))

    def go(self, span=0):
        self.clock.by += span
        self.loop.after(0, lambda: None)
        self.loop.turn()


class Channel:
    """What waits in the channel to the proxies: all that was carried out, less what left at its pace."""

    def __init__(self, room, pace):
        self.room, self.pace = room, pace
        self.lines, self.most, self.at = 0.0, 0.0, room.clock.now()

    def carried_out(self):
        """The call that is out is; returns how many lines wait now."""
        now, lines = self.room.clock.now(), self.room.out()[0].count(";") + 1
        self.lines = max(0.0, self.lines - (now - self.at) * self.pace / SECOND)
        self.lines += (lines + self.room.relay.head) * self.room.proxies
        self.at, self.most = now, max(self.most, self.lines)
        return self.lines
