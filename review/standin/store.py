"""Stand-in of the platform's store: keyed topics of one partition, as PROTOCOL.md describes them."""

import base64
import json
import struct
import threading
import time

from net import Server, answer


class Store(Server):
    def __init__(self):
        self.lock = threading.Condition()
        self.topics = {}
        super().__init__()

    def put(self, topic, key, value):
        """Appends a record; a value of None drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        with self.lock:
            self.topics.setdefault(topic, []).append((key.encode(), data))
            self.lock.notify_all()

    def handle(self, sock, reader, request):
        name = request.query.get("topic", "")
        json_type = [("Content-Type", "application/json")]
        if request.path == "/larkwick/log-newest":
            with self.lock:
                records = list(self.topics.get(name, []))
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (value, offset)
            items = [
                {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in newest.items()
                if value
            ]
            body = json.dumps({"items": items, "more": False, "end": len(records)}).encode()
            answer(sock, 200, body, json_type)
        elif request.path == "/larkwick/log-read":
            start = int(request.query["from"])
            until = time.monotonic() + int(request.query.get("wait-ms", "0")) / 1000.0
            with self.lock:
                topic = self.topics.setdefault(name, [])
                while len(topic) <= start and time.monotonic() < until:
                    self.lock.wait(until - time.monotonic())
                records = topic[start:]
                end = len(topic)
            body = struct.pack(">QQ", end, 0)
            for key, value in records:
                body += struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value
            answer(sock, 200, body)
        elif request.path == "/larkwick/log-append":
            rest = request.body
            with self.lock:
                topic = self.topics.setdefault(name, [])
                at = request.query.get("at")
                if at is not None and int(at) != len(topic):
                    answer(sock, 412, json.dumps({"end": len(topic)}).encode(), json_type)
                    return
                first = len(topic)
                while rest:
                    (length,) = struct.unpack(">I", rest[:4])
                    record, rest = rest[4 : 4 + length], rest[4 + length :]
                    keylen = record[0]
                    topic.append((record[1 : 1 + keylen], record[1 + keylen :]))
                end = len(topic)
                self.lock.notify_all()
            answer(sock, 200, json.dumps({"offset": first, "end": end}).encode(), json_type)
        else:
            answer(sock, 404)
