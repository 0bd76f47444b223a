"""The restart of a pool's decision module after a defect."""

import os

from indigohitch.config.sidecar_file import read
from indigohitch.log import Log
from indigohitch.net.clock import SECOND, Clock
from indigohitch.net.loop import EventLoop
from indigohitch.sidecar.host import Host
from test_directives import TEXT


def test_a_module_that_raises_is_replaced_and_receives_the_current_routes():
    failures = []
    loop = EventLoop(Clock(), failures.append)
    host = Host(loop, Log(loop.clock, "t", os.open(os.devnull, os.O_WRONLY)), read(TEXT))
    pool = host.pools["nodes"]
    pool.start()
    servers_before = [list(table.servers) for table in pool.tables]
    broken = pool.coordinator
    broken.handle = lambda now, events: 1 / 0
    end = loop.clock.now() + 3 * SECOND
    while loop.clock.now() < end and not (pool.coordinator is not broken and pool.coordinator.slices):
        loop.call_after(100, lambda: None)
        loop.turn()
        host.turn()
    assert isinstance(failures[0], ZeroDivisionError) and host.log.counts["decision_module_restarted"] == 1
    assert len(pool.coordinator.slices) == 8 and [list(t.servers) for t in pool.tables] == servers_before
    assert all(s.stored_routes for s in pool.coordinator.slices.values())
    host.close()
