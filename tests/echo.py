"""An echo server on loopback, for tests of what lies between members."""

import socket
import threading


class Echo:
    """Sends back what it receives.

    `received` holds the bytes of all connections, `ends` has "ended" or "reset" for each closed one.
    """

    def __init__(self, name):
        self.name, self.received, self.ends = name, bytearray(), []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        try:
            while data := sock.recv(65536):
                self.received += data
                sock.sendall(data)
            self.ends.append("ended")
        except OSError:
            self.ends.append("reset")
        sock.close()
