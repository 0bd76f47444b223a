"""The program with a fault injected at one point of an upgrade: `faulty.py POINT HOW ARGUMENTS...`.

HOW is crash, hang, wait, exit or none.  The line `program` of the operator's file names it, so that the old
process starts it like a new version.
"""

import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from indigohitch.sidecar.host import Host  # noqa: E402
from indigohitch.upgrade import messages, snapshot  # noqa: E402
from indigohitch.upgrade.successor_driver import SuccessorDriver  # noqa: E402


def trigger_fault(how):
    os.write(1, b'{"event":"fault","point":"%b"}\n' % sys.argv[1].encode())  # the fault point was reached
    if how == "hang":
        while True:
            time.sleep(60)
    if how == "wait":
        time.sleep(0.8)
        return
    if how == "none":
        return
    if how == "exit":
        os._exit(3)
    if how == "crash":
        os.kill(os.getpid(), signal.SIGKILL)


def main(point, how):
    original_on_message = SuccessorDriver.on_message
    original_send = SuccessorDriver.send
    original_do_accept = SuccessorDriver.do_accept

    def on_message(self, message, descriptors):
        if (point, type(message)) == ("commit", messages.CommitHandover):
            trigger_fault(how)
        original_on_message(self, message, descriptors)
        if (point, type(message)) == ("half", messages.StateChunk) and len(self.state_data) < self.state_size:
            trigger_fault(how)
        if (point, type(message)) == ("listener", messages.Listeners):
            trigger_fault(how)

    def send(self, message):
        if point == "newer" and type(message) is messages.Hello:
            message = messages.Hello(message.protocol, snapshot.SCHEMA + 2, message.pid)
            trigger_fault("none")
        if point == "differs" and type(message) is messages.StateRestored:
            message = messages.StateRestored(b"another digest..")
            trigger_fault("none")
        if point == "garbled" and type(message) is messages.StateRestored:
            self.channel.send_queue.append((memoryview(b"rubbish" * 20), []))
            trigger_fault("none")
        if point == "descriptors" and type(message) is messages.Hello:
            import resource

            original_send(self, message)
            trigger_fault("none")
            next_fd = os.dup(1)
            os.close(next_fd)
            resource.setrlimit(
                resource.RLIMIT_NOFILE, (next_fd, resource.getrlimit(resource.RLIMIT_NOFILE)[1])
            )
            return
        original_send(self, message)
        if (point, type(message)) in (
            ("restored", messages.StateRestored),
            ("proven", messages.StateProven),
            ("hello", messages.Hello),
            ("acked", messages.AcceptingStarted),
        ):
            trigger_fault(how)

    def do_accept(self):
        original_do_accept(self)
        if point == "drain":
            self.loop.call_after(1500, lambda: trigger_fault(how))

    SuccessorDriver.on_message = on_message
    SuccessorDriver.send = send
    SuccessorDriver.do_accept = do_accept
    if point == "start":
        trigger_fault(how)
    if point == "accept":
        Host.greet = lambda self, sock: trigger_fault(how)
    from indigohitch.cli import main as command_line

    command_line(sys.argv[3:], prog_name="indigohitch")


if __name__ == "__main__":
    main(*sys.argv[1:3])
