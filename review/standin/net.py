"""A small threaded HTTP/1.1 server and client on loopback sockets, with full control of the framing."""

import socket
import struct
import threading


class Closed(Exception):
    """The other side ended the connection."""


class Reader:
    """Buffered reads from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise Closed()
        self.buffer += data

    def until(self, mark):
        while mark not in self.buffer:
            self.fill()
        head, self.buffer = self.buffer.split(mark, 1)
        return head

    def exactly(self, count):
        while len(self.buffer) < count:
            self.fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def chunk(self):
        """Returns the next chunk of a chunked body; empty at its end."""
        size = int(self.until(b"\r\n").split(b";")[0], 16)
        data = self.exactly(size)
        self.until(b"\r\n")
        return data


def parse_head(text):
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Request:
    """A request as a server received it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        self.headers = headers
        self.body = body


def read_request(reader):
    line, headers = parse_head(reader.until(b"\r\n\r\n"))
    method, target, _ = line.split(" ", 2)
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            data = reader.chunk()
            if not data:
                break
            body += data
    else:
        body = reader.exactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def reset(sock):
    """Closes a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def answer(sock, status, body=b"", headers=()):
    """Sends a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


class Server:
    """Accepts connections and serves each in a thread until stopped."""

    def __init__(self, backlog=512):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(backlog)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        reader = Reader(sock)
        try:
            while True:
                request = read_request(reader)
                if self.handle(sock, reader, request) is False:
                    break
        except (Closed, OSError, ValueError):
            pass
        finally:
            sock.close()

    def handle(self, sock, reader, request):
        """Answers a request; returns False if the connection is to be closed."""
        raise NotImplementedError


class Answer:
    """An answer as a client received it."""

    def __init__(self, status, headers):
        self.status = status
        self.headers = headers
        self.body = b""
        # Whether the framing of the answer says that it ended.
        self.complete = False
        self.error = ""
        # Whether the other side closed the connection early, without a reset.
        self.closed = False

    def event_numbers(self):
        """Returns the ids of the whole events in the body."""
        whole = self.body.decode().split("\n\n")[:-1]
        return [int(line[4:]) for event in whole for line in event.split("\n") if line.startswith("id: ")]


def call(address, method, target, headers, body=b"", timeout=30.0):
    """Sends a request on a new connection and reads the answer to its end."""
    host, port = address.rsplit(":", 1)
    result = Answer(0, {})
    sock = None
    try:
        sock = socket.create_connection((host, int(port)), timeout=1.0)
        sock.settimeout(timeout)
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        reader = Reader(sock)
        line, result.headers = parse_head(reader.until(b"\r\n\r\n"))
        result.status = int(line.split(" ")[1])
        if "chunked" in result.headers.get("transfer-encoding", ""):
            while True:
                data = reader.chunk()
                if not data:
                    break
                result.body += data
            result.complete = True
        elif "content-length" in result.headers:
            result.body = reader.exactly(int(result.headers["content-length"]))
            result.complete = True
        else:
            result.body = reader.buffer
            try:
                while True:
                    reader.fill()
                    result.body = reader.buffer
            except Closed:
                result.complete = True
    except Closed:
        result.closed = True
        result.error = "connection closed early"
    except (OSError, ValueError) as error:
        result.error = repr(error)
    finally:
        if sock:
            sock.close()
    return result
