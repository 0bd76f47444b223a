"""The program with a fault at one point of taking over: `faulty.py POINT HOW WORDS...`, HOW being crash,
hang, wait or exit.  Run as the operator's `program`: the old process starts it as it would a new version."""

import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from indigohitch.sidecar.host import Host  # noqa: E402
from indigohitch.upgrade import messages  # noqa: E402
from indigohitch.upgrade import snapshot as shots  # noqa: E402
from indigohitch.upgrade.successor_driver import SuccessorDriver  # noqa: E402


def struck(how):
    os.write(1, b'{"event":"fault","point":"%b"}\n' % sys.argv[1].encode())  # it came to that
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
    heard, say, begin = SuccessorDriver.on_message, SuccessorDriver.send, SuccessorDriver.do_accept

    def on_heard(self, word, descriptors):
        if (point, type(word)) == ("commit", messages.CommitHandover):
            struck(how)
        heard(self, word, descriptors)
        if (point, type(word)) == ("half", messages.StateChunk) and len(self.parts) < self.size:
            struck(how)
        if (point, type(word)) == ("listener", messages.Listeners):
            struck(how)

    def on_say(self, word):
        if point == "newer" and type(word) is messages.Hello:
            word = messages.Hello(word.protocol, shots.SCHEMA + 2, word.pid)
            struck("none")
        if point == "differs" and type(word) is messages.StateRestored:
            word = messages.StateRestored(b"another digest..")
            struck("none")
        if point == "garbled" and type(word) is messages.StateRestored:
            self.channel.out.append((memoryview(b"rubbish" * 20), []))
            struck("none")
        if point == "descriptors" and type(word) is messages.Hello:
            import resource

            say(self, word)
            struck("none")
            spare = os.dup(1)
            os.close(spare)
            resource.setrlimit(resource.RLIMIT_NOFILE, (spare, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
            return
        say(self, word)
        if (point, type(word)) in (
            ("restored", messages.StateRestored),
            ("proven", messages.StateProven),
            ("hello", messages.Hello),
            ("acked", messages.AcceptingStarted),
        ):
            struck(how)

    def on_accept(self):
        begin(self)
        if point == "drain":
            self.loop.call_after(1500, lambda: struck(how))

    SuccessorDriver.on_message, SuccessorDriver.send, SuccessorDriver.do_accept = on_heard, on_say, on_accept
    if point == "start":
        struck(how)
    if point == "accept":
        Host.greet = lambda self, sock: struck(how)
    from indigohitch.cli import main as command_line

    command_line(sys.argv[3:], prog_name="indigohitch")


if __name__ == "__main__":
    main(*sys.argv[1:3])
