"""A stand-in for the platform's relay and store: calls with faults, tables, and event streams."""

import socket
import time
from urllib.parse import parse_qs, urlencode

from peers import fail, given_up, http, reset


class RelayStandIn:
    """The relay of stage.Platform, which has its tables, proxies, faults and lock; a fault occurs once."""

    # During a network partition no call is executed and no event sent; open connections stay silent and are
    # reset at its end.
    cut_off = False
    RETURN_DELAY = 0.03  # s after a stream's first keep-alive, where slices were taken away meanwhile
    lines_told = True  # whether new streams report the slices and their table entries at their start
    taken_away = False  # whether another coordinator owns the slices during a partition; they return after it

    def _silent(self, sock):
        """Sends nothing until the partition ends, then resets the connection."""
        while self.cut_off:
            time.sleep(0.005)
        reset(sock)
        raise OSError

    def _relay(self, sock, method, target, body):
        if self.cut_off:
            return self._silent(sock)
        if method == "GET":
            return self._stream(sock)
        form = parse_qs(body)
        assert target == "/" and form["Action"] == ["CommitChanges"] and len(form["orders"][0]) <= 60000
        orders = form["orders"][0].split(";")
        how = self.relay_faults.pop(0) if self.relay_faults else "answer"
        if how in ("Throttling", "ValidationError"):
            return http(sock, f"<Response><Error><Code>{how}</Code></Error></Response>", "400 Bad Request")
        how, _, after_execution = how.partition(" ")
        if how in ("answer", "close") or after_execution:
            if given_up(sock):  # the caller gave up before this busy machine handled the call
                raise OSError
            executed = self._carry_out(orders)
        if how not in ("answer", "close"):
            return fail(sock, how)
        http(
            sock,
            f'<?xml version="1.0"?>\n<Response><results><item><ok_count>{executed}</ok_count></item>'
            "</results></Response>",
        )
        if how == "close":
            sock.shutdown(socket.SHUT_RDWR)

    def _carry_out(self, orders):
        """Executes the orders up to the first refused one; returns how many."""
        with self.lock:
            self.calls.append(orders)
            self.times.append(time.monotonic())
            for executed, order in enumerate(orders):
                kind, *words = order.split(",")
                if kind == "put" and words[1] in self.refused:
                    return executed
                table = self.tables.get(int(words[0])) if kind in ("put", "wipe") else None
                if kind == "put" and table is not None:
                    table.pop(words[1], None)
                    if float(words[2]):
                        table[words[1]] = float(words[2])
                elif kind in ("eject", "uneject"):
                    (self.out.add if kind == "eject" else self.out.discard)(words[0])
                elif kind == "fence":
                    self.marks.append(int(words[0]))
                    for proxy in self.proxies if self.marks_told else ():
                        self.tell("done", id=proxy, seq=words[0], ms=3.5)
            return len(orders)

    def tell(self, kind, **words):
        """Sends an event to all open streams."""
        with self.lock:
            for queue in self.news:
                queue.append(f"event: {kind}\ndata: {urlencode(words)}\n\n")

    def _stream(self, sock):
        if self.streams_mute:
            return "hang"
        queue = []
        return_at = time.monotonic() + 0.1 + self.RETURN_DELAY
        with self.lock:
            for proxy in sorted(self.proxies):
                queue.append(f"event: attach\ndata: id={proxy}&site=east&rps=5.0&new=1\n\n")
            if self.lines_told and not self.taken_away:
                queue += self._ownership_events()
            self.news.append(queue)
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        keep_alive_at = time.monotonic() + 0.1
        while True:
            if self.cut_off:
                self.news.remove(queue)
                self._silent(sock)
            if self.taken_away and time.monotonic() > return_at:
                with self.lock:
                    queue += self._ownership_events()
                    self.taken_away = False
            if self.news_faults:
                how = self.news_faults.pop(0)
                self.news.remove(queue)
                if how == "unreadable":
                    sock.sendall(b"14\r\nevent: attach\ndata: \xff\n\n\r\n")
                return fail(sock, how) or "hang"
            with self.lock:
                events, queue[:] = "".join(queue), []
            if time.monotonic() > keep_alive_at:
                events, keep_alive_at = events + ":\n\n", time.monotonic() + 0.2
            # Chunks are split at any byte, even within a line.
            for piece in (events[: len(events) // 2], events[len(events) // 2 :]):
                if piece:
                    sock.sendall(f"{len(piece):x}\r\n{piece}\r\n".encode())
            time.sleep(0.005)

    def _ownership_events(self):
        """Returns the events that assign all slices to the reader, with the entries of their tables."""
        events = []
        for number, table in self.tables.items():
            events.append(f"event: owner\ndata: range={number}&flag=1\n\n")
            events += [f"event: entry\ndata: range={number}&target={b}&rps={w}\n\n" for b, w in table.items()]
        return events

    def agrees(self):
        """Returns whether each slice has one table entry, whose backend is SERVING and not ejected."""
        with self.lock:
            serving = {b for b, e in self.listed.items() if e["lifecycle"] == "SERVING"} - self.out
            return all(len(table) == 1 and set(table) <= serving for table in self.tables.values())
