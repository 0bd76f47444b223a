"""A member on loopback that answers with the bytes that it gets, for tests of what lies between members."""

import socket
import threading


class Echo:
    """Members that answer with what they heard; `heard` keeps all bytes by who listened."""

    def __init__(self, name):
        self.name, self.heard, self.ends = name, bytearray(), []
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.at = self.listening.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listening.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        try:
            while data := sock.recv(65536):
                self.heard += data
                sock.sendall(data)
            self.ends.append("ended")
        except OSError:
            self.ends.append("reset")
        sock.close()
