"""HTTP servers on loopback that answer, or fail, as a test's callback says."""

import socket
import struct
import threading


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Peer:
    """Listens on loopback and serves each connection in its own thread, one request at a time.

    `answer(sock, method, target, body)` answers a request; "hang" makes the peer read on without an answer.
    """

    def __init__(self, answer, port=0):
        self.answer, self.connections, self.open = answer, 0, True
        self.sock = socket.create_server(("127.0.0.1", port))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.all = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while self.open:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.connections += 1
            self.all.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            with sock.makefile("rb") as stream:
                while request_line := stream.readline():
                    size = 0
                    while line := stream.readline().strip():
                        name, _, value = line.partition(b":")
                        size = int(value) if name.lower() == b"content-length" else size
                    method, target, _ = request_line.decode().split()
                    if self.answer(sock, method, target, stream.read(size).decode()) == "hang":
                        while sock.recv(4096):
                            pass
        except (OSError, ValueError):
            pass

    def stop(self):
        """Closes the listening socket; open connections are still served."""
        self.open = False
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def close(self):
        if self.open:
            self.stop()
        for sock in self.all:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()


def given_up(sock):
    """Returns whether the client has closed the connection."""
    timeout = sock.gettimeout()
    sock.settimeout(0)
    try:
        return sock.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    finally:
        sock.settimeout(timeout)


def http(sock, body, status="200 OK"):
    sock.sendall(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())


def fail(sock, how):
    """Fails a request in a way that all peers share.

    Returns "hang" if the peer is to stay silent, otherwise `how`; a name that is none of these has no effect.
    """
    if how == "reset":
        reset(sock)
        raise OSError
    if how == "garbage":
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n<<{[")
    elif how == "rubbish":
        sock.sendall(b"\0\xff no HTTP at all\r\n\r\n")
    elif how == "503":
        http(sock, "", "503 Service Unavailable")
    return "hang" if how == "silent" else how
