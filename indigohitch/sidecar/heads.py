"""Heads of requests and answers: strict parsing, and encoding for the next hop. Performs no I/O.

Refuses what two readers could frame differently (RFC 9112, 6.3 and 11.2): framing headers that conflict,
are repeated or are not plain digits, line ends other than CRLF, a request without exactly one Host.
"""

from __future__ import annotations

import httptools

from ..errors import InvalidDataError
from .framing import Body

# Fields of the connection, not of the RPC (RFC 9110, 7.6.1).  Framing headers are generated again.
HOP_BY_HOP_FIELDS = frozenset(
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


class RefusedHeadError(InvalidDataError):
    """A head that is not forwarded; `status` is the status of the answer."""

    remedy = "its sender has to write it as RFC 9112 says"

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class _Head:
    """Parser callbacks of httptools, and the checks that apply to requests and answers."""

    def __init__(self) -> None:
        self.fields: list[tuple[bytes, bytes, bytes]] = []  # name in lower case, name, value
        self.lengths: list[bytes] = []
        self.codings: list[bytes] = []
        self.connection: set[bytes] = set()
        self.is_complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field; called by httptools."""
        lower_name = name.lower()
        if lower_name == b"content-length":
            self.lengths.append(value)
        elif lower_name == b"transfer-encoding":
            self.codings.append(value.strip().lower())
        elif lower_name == b"connection":
            self.connection.update(word.strip().lower() for word in value.split(b","))
        self.fields.append((lower_name, name, value))

    def on_headers_complete(self) -> None:
        """Marks the head as complete; called by httptools."""
        self.is_complete = True

    def parse(self, parser: httptools.HttpRequestParser | httptools.HttpResponseParser, data: bytes) -> None:
        """Parses a whole head; raises RefusedHeadError."""
        if data.count(b"\n") != data.count(b"\r\n") or data.count(b"\r") != data.count(b"\r\n"):
            raise RefusedHeadError(400, "line ends other than CRLF")
        if b"\0" in data:
            raise RefusedHeadError(400, "a NUL")
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # Upgrade concerns one hop only; the RPC is forwarded without it
        except httptools.HttpParserError as error:
            raise RefusedHeadError(400, str(error)) from None
        if not self.is_complete:
            raise RefusedHeadError(400, "the head does not end where it should")

    def framing(self) -> Body | None:
        """Returns the announced body, None without framing headers; raises RefusedHeadError."""
        if self.codings:
            if self.lengths or self.codings != [b"chunked"]:
                raise RefusedHeadError(400, "framing headers conflict")
            return Body(Body.CHUNKED)
        if not self.lengths:
            return None
        length = self.lengths[0]
        if len(self.lengths) > 1 or len(length) > 15 or length.strip(b"0123456789") or not length:
            raise RefusedHeadError(400, "Content-Length is doubled or not a number")
        return Body(Body.LENGTH, int(length))

    def forwarded_fields(self, omitted: frozenset[bytes] = frozenset()) -> bytes:
        """Returns the fields for the next hop without the `omitted`, each with its CRLF.

        An existing Via is extended instead of repeated.
        """
        drop = HOP_BY_HOP_FIELDS | self.connection | omitted
        out = []
        via = b""
        for lower_name, name, value in self.fields:
            if lower_name == b"via":
                via += value + b", "
            elif lower_name not in drop:
                out.append(b"%b: %b\r\n" % (name, value))
        out.append(b"Via: %b%b\r\n" % (via, VIA))
        return b"".join(out)


def framing_header(body: Body) -> bytes:
    """Returns the header line that frames the body, empty if the body has no framing."""
    if body.kind == Body.LENGTH:
        return b"Content-Length: %d\r\n" % body.left
    return b"Transfer-Encoding: chunked\r\n" if body.kind == Body.CHUNKED else b""


class RequestHead(_Head):
    """The head of a request.

    It is kept until the request is answered. Parsed fields take some fifty times their bytes, so a head with
    many of them is kept as it was received, and parsed again where its fields are used.
    """

    MAX_PARSED_FIELDS = 48
    METHODS = frozenset(("GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH"))

    def __init__(self, data: bytes) -> None:
        """Parses the head; raises RefusedHeadError."""
        super().__init__()
        self.packed = b""
        self.target = b""
        parser = httptools.HttpRequestParser(self)
        self.parse(parser, data)
        self.method = parser.get_method().decode()
        self.version = parser.get_http_version()
        if self.version not in ("1.1", "1.0"):
            raise RefusedHeadError(505, f"version {self.version}")
        if self.method not in self.METHODS:
            raise RefusedHeadError(501, f"method {self.method}")
        hosts = sum(lower_name == b"host" for lower_name, _, _ in self.fields)
        if hosts > 1 or not hosts and self.version == "1.1":
            raise RefusedHeadError(400, "not one Host")
        if not self.target.startswith(b"/") and self.target != b"*":
            raise RefusedHeadError(400, "the target is no path")
        if self.codings and self.version == "1.0":
            raise RefusedHeadError(400, "chunks in HTTP/1.0")
        self.body = self.framing() or Body(Body.NONE)
        self.keep = self.version == "1.1" and b"close" not in self.connection
        self.expects = False
        for value in self.values(b"expect"):
            if value.lower() != b"100-continue":
                raise RefusedHeadError(417, "no such expectation")
            self.expects = self.version == "1.1" and not self.body.done
        if len(self.fields) + len(self.connection) > self.MAX_PARSED_FIELDS:
            self.packed = data
            self.fields = []
            self.connection = set()

    def _parsed(self) -> _Head:
        """Returns the head with its fields."""
        if not self.packed:
            return self
        head = _Head()
        head.parse(httptools.HttpRequestParser(head), self.packed)
        return head

    def on_url(self, part: bytes) -> None:
        """Appends a part of the target; called by httptools."""
        self.target += part

    def values(self, name: bytes) -> list[bytes]:
        """Returns the values of all fields with this name, which has to be in lower case."""
        return [value for lower_name, _, value in self._parsed().fields if lower_name == name]

    def forwarded_head(self, extra: bytes = b"", omitted: frozenset[bytes] = frozenset()) -> bytes:
        """Returns the head for the server, with the `extra` lines and without the `omitted` fields."""
        return b"%b %b HTTP/1.1\r\n%b%b%b\r\n" % (
            self.method.encode(),
            self.target,
            self._parsed().forwarded_fields(omitted),
            framing_header(self.body),
            extra,
        )


class AnswerHead(_Head):
    """The head of an answer, interim or final."""

    def __init__(self, data: bytes, method: str) -> None:
        """Parses the head of an answer to a request with this method; raises RefusedHeadError."""
        super().__init__()
        self.reason = b""
        parser = httptools.HttpResponseParser(self)
        self.parse(parser, data)
        self.status = parser.get_status_code()
        self.interim = 100 <= self.status < 200
        if self.status == 101 or self.status < 100 or self.status > 599:
            raise RefusedHeadError(502, f"status {self.status}")
        self.announced_body = self.framing()  # as the head announces it, even if HEAD suppresses it
        if method == "HEAD" or self.interim or self.status in (204, 304):
            self.body = Body(Body.NONE)
        else:
            self.body = self.announced_body or Body(Body.TO_END)
        version = parser.get_http_version()
        self.keep = version == "1.1" and b"close" not in self.connection and self.body.kind != Body.TO_END

    def on_status(self, part: bytes) -> None:
        """Appends a part of the reason phrase; called by httptools."""
        self.reason += part

    def value(self, name: bytes) -> bytes | None:
        """Returns the first value of the field with this lower-case name, None if there is none."""
        return next((value for lower_name, _, value in self.fields if lower_name == name), None)

    def forwarded_head(self, chunks: bool, close: bool) -> bytes:
        """Returns the head for the client; `chunks` says that the body is sent in chunks."""
        if self.interim:
            return b"HTTP/1.1 %d %b\r\n%b\r\n" % (self.status, self.reason, self.forwarded_fields())
        if chunks:
            frame = b"Transfer-Encoding: chunked\r\n"
        else:
            frame = (
                framing_header(self.announced_body)
                if self.announced_body and self.announced_body.kind == Body.LENGTH
                else b""
            )
        return b"HTTP/1.1 %d %b\r\n%b%b%b\r\n" % (
            self.status,
            self.reason,
            self.forwarded_fields(),
            frame,
            b"Connection: close\r\n" if close else b"",
        )
