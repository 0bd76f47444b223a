"""Heads of requests and answers: read strictly, and written anew for the next hop.  No I/O.

What two readers could frame differently is refused (RFC 9112, 6.3 and 11.2): framing headers that conflict,
come twice or are not plain digits, line ends other than CRLF, a request without exactly one Host."""

from __future__ import annotations

import httptools

from ..errors import InvalidDataError
from .framing import Body

# Of the hop, not of the RPC (RFC 9110, 7.6.1).  Framing headers are set anew.
HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"proxy-authenticate",
        b"proxy-authorization",
    )
)
VIA = b"1.1 indigohitch"
REASONS = {
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    414: b"URI Too Long",
    417: b"Expectation Failed",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}


class Refused(InvalidDataError):
    """A head that is not passed on; `status` says why."""

    remedy = "its sender has to write it as RFC 9112 says"

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class _Head:
    """What httptools tells of a head, and the checks that both kinds share."""

    def __init__(self) -> None:
        self.fields: list[tuple[bytes, bytes, bytes]] = []  # lower-case name, name, value
        self.lengths: list[bytes] = []
        self.codings: list[bytes] = []
        self.connection: set[bytes] = set()
        self.whole = False

    def on_header(self, name: bytes, value: bytes) -> None:
        low = name.lower()
        if low == b"content-length":
            self.lengths.append(value)
        elif low == b"transfer-encoding":
            self.codings.append(value.strip().lower())
        elif low == b"connection":
            self.connection.update(word.strip().lower() for word in value.split(b","))
        self.fields.append((low, name, value))

    def on_headers_complete(self) -> None:
        self.whole = True

    def read(self, parser, data: bytes) -> None:
        if data.count(b"\n") != data.count(b"\r\n") or data.count(b"\r") != data.count(b"\r\n"):
            raise Refused(400, "line ends other than CRLF")
        if b"\0" in data:
            raise Refused(400, "a NUL")
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # upgrades are of the hop; the RPC goes on as a plain one
        except httptools.HttpParserError as bad:
            raise Refused(400, str(bad)) from None
        if not self.whole:
            raise Refused(400, "the head does not end where it should")

    def framing(self) -> Body | None:
        """The body that the framing headers announce, None where there are none."""
        if self.codings:
            if self.lengths or self.codings != [b"chunked"]:
                raise Refused(400, "framing headers conflict")
            return Body(Body.CHUNKED)
        if not self.lengths:
            return None
        length = self.lengths[0]
        if len(self.lengths) > 1 or len(length) > 15 or length.strip(b"0123456789") or not length:
            raise Refused(400, "Content-Length is doubled or not a number")
        return Body(Body.LENGTH, int(length))

    def passed_on(self, less: frozenset[bytes] = frozenset()) -> bytes:
        """The fields for the next hop but `less`, each with its CRLF; Via is added to, not doubled."""
        drop, out, via = HOP | self.connection | less, [], b""
        for low, name, value in self.fields:
            if low == b"via":
                via += value + b", "
            elif low not in drop:
                out.append(b"%b: %b\r\n" % (name, value))
        out.append(b"Via: %b%b\r\n" % (via, VIA))
        return b"".join(out)


def framed(body: Body) -> bytes:
    if body.kind == Body.LENGTH:
        return b"Content-Length: %d\r\n" % body.left
    return b"Transfer-Encoding: chunked\r\n" if body.kind == Body.CHUNKED else b""


class RequestHead(_Head):
    METHODS = frozenset(("GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH"))

    def __init__(self, data: bytes) -> None:
        """Raises Refused."""
        super().__init__()
        self.target = b""
        parser = httptools.HttpRequestParser(self)
        self.read(parser, data)
        self.method, self.version = parser.get_method().decode(), parser.get_http_version()
        if self.version not in ("1.1", "1.0"):
            raise Refused(505, f"version {self.version}")
        if self.method not in self.METHODS:
            raise Refused(501, f"method {self.method}")
        hosts = sum(low == b"host" for low, _, _ in self.fields)
        if hosts > 1 or not hosts and self.version == "1.1":
            raise Refused(400, "not one Host")
        if not self.target.startswith(b"/") and self.target != b"*":
            raise Refused(400, "the target is no path")
        if self.codings and self.version == "1.0":
            raise Refused(400, "chunks in HTTP/1.0")
        self.body = self.framing() or Body(Body.NONE)
        self.keep = self.version == "1.1" and b"close" not in self.connection
        self.expects = False
        for value in self.values(b"expect"):
            if value.lower() != b"100-continue":
                raise Refused(417, "no such expectation")
            self.expects = self.version == "1.1" and not self.body.done

    def on_url(self, part: bytes) -> None:
        self.target += part

    def values(self, name: bytes) -> list[bytes]:
        return [value for low, _, value in self.fields if low == name]

    def onward(self, more: bytes = b"", less: frozenset[bytes] = frozenset()) -> bytes:
        """The head as the server gets it: with these lines more, without these fields."""
        return b"%b %b HTTP/1.1\r\n%b%b%b\r\n" % (
            self.method.encode(),
            self.target,
            self.passed_on(less),
            framed(self.body),
            more,
        )


class AnswerHead(_Head):
    def __init__(self, data: bytes, method: str) -> None:
        """The answer to a request of that method; raises Refused."""
        super().__init__()
        self.reason = b""
        parser = httptools.HttpResponseParser(self)
        self.read(parser, data)
        self.status = parser.get_status_code()
        self.interim = 100 <= self.status < 200
        if self.status == 101 or self.status < 100 or self.status > 599:
            raise Refused(502, f"status {self.status}")
        self.told = self.framing()  # what the head says, though to HEAD no body comes
        if method == "HEAD" or self.interim or self.status in (204, 304):
            self.body = Body(Body.NONE)
        else:
            self.body = self.told or Body(Body.TO_END)
        version = parser.get_http_version()
        self.keep = version == "1.1" and b"close" not in self.connection and self.body.kind != Body.TO_END

    def on_status(self, part: bytes) -> None:
        self.reason += part

    def value(self, name: bytes) -> bytes | None:
        return next((value for low, _, value in self.fields if low == name), None)

    def onward(self, chunks: bool, close: bool) -> bytes:
        """The head as the client gets it; `chunks`: a body goes out in chunks."""
        if self.interim:
            return b"HTTP/1.1 %d %b\r\n%b\r\n" % (self.status, self.reason, self.passed_on())
        if chunks:
            frame = b"Transfer-Encoding: chunked\r\n"
        else:
            frame = framed(self.told) if self.told and self.told.kind == Body.LENGTH else b""
        return b"HTTP/1.1 %d %b\r\n%b%b%b\r\n" % (
            self.status,
            self.reason,
            self.passed_on(),
            frame,
            b"Connection: close\r\n" if close else b"",
        )


def plain(
    status: int, why: str, retry_after: int | None = None, close: bool = False, head_only: bool = False
) -> bytes:
    """An answer of our own, whole."""
    body = why.encode("ascii", "replace") + b"\n"
    return b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n%b%bVia: %b\r\n\r\n%b" % (
        status,
        REASONS.get(status, b"Error"),
        len(body),
        b"" if retry_after is None else b"Retry-After: %d\r\n" % retry_after,
        b"Connection: close\r\n" if close else b"",
        VIA,
        b"" if head_only else body,
    )
