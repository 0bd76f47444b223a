"""Starts the RPC of a request: finds its route, pool and slice, or answers with an error."""

from __future__ import annotations

from .framing import Body
from .heads import RequestHead
from .keys import key_of, slice_of
from .plain_answers import plain_answer
from .rpc import Rpc


def start_request(client, head: RequestHead) -> bool:
    """Starts the RPC of this request or answers at once; returns whether the next request may be tried."""
    host = client.host
    target = head.target.decode("latin-1")
    path = target.partition("?")[0]
    route = host.text.routes.find(head.method, path)
    if isinstance(route, int):
        host.log.count(f"rpc_refused_{route}")
        host.log_access(client, head, host.now, "", route, 0)
        client.close_after |= not head.body.done or not head.keep
        client.send_answer(
            plain_answer(route, "no such route", None, client.close_after, head.method == "HEAD")
        )
        return True
    if head.body.kind == Body.LENGTH and head.body.left > host.text.limits["body"]:
        host.log.count("rpc_refused_413")
        host.log_access(client, head, host.now, route.rpc.name, 413, 0)
        client.refuse(413, "the body is too large")
        return False
    pool = host.pools[route.pool.name]
    key = key_of(route, target, path, head.values)
    # A request without a key may use any slice; round robin spreads these evenly.
    number = pool.next_slice() if key is None else slice_of(key, pool.slices)
    client.last_activity = host.now
    client.rpc = Rpc(client, head, route, pool, number)
    pool.count_request(number, route.rpc.name)
    client.rpc.start()
    return True
