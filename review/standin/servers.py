"""Stand-in of the model servers, which stream, stop and copy runs."""

import json
import threading
import time

from net import Server, answer, reset

SEAL = ("Larkwick-Response-Seal", "stand-in")


class Record:
    """What was sent, answered and run, in order; thread-safe."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        with self.lock:
            if self.file.closed:
                return
            self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")
            self.file.flush()

    def close(self):
        """Ends the record: what follows belongs to the end of the case."""
        with self.lock:
            self.file.close()


class Listed(Server):
    """A server with an entry in the store."""

    def __init__(self, site, service, name, slots):
        self.site, self.service, self.id, self.slots = site, service, name, slots
        self.seq = 0
        self.state = "ready"
        super().__init__()

    def list(self, state="ready"):
        self.seq += 1
        self.state = state
        entry = {
            "service": self.service, "addr": self.address, "zone": "z1", "version": "v1",
            "slots": self.slots, "state": state, "cold-left-ms": 0, "seq": self.seq,
        }
        self.site.store.put("keyed.servers", self.id, entry)
        self.site.record.line(f"{self.id} writes to the store: {state}")

    def refused(self, sock, request):
        """Answers what does not run here; returns whether it did."""
        expected = request.headers.get("larkwick-expect-instance")
        if expected is not None and expected != self.id:
            answer(sock, 421, b"", [("Larkwick-Instance-Id", self.id)])
            return True
        return False


class Run:
    def __init__(self, made, prompt_tokens):
        self.made = made
        self.prompt_tokens = prompt_tokens
        # Whether its memory is being copied.
        self.copying = False
        self.began = time.monotonic()
        self.ended = None
        # Whether the answer was lost on its way.
        self.lost = False
        self.stopped = threading.Event()
        self.closed = threading.Event()


class Engine(Listed):
    """A model server: a stream of `events` events (last part of the path), one each `gap_s`."""

    gap_s = 0.1
    copy_s = 0.04
    # Ids of requests whose answer carries neither a length nor chunks.
    unframed = frozenset()
    # Ids of runs for which the answer to the order that stops them is lost.
    lose_stop_answer = frozenset()
    # Ids of requests whose answer is lost after `lost_after` events, while the server goes on with the run.
    lose_answer = frozenset()
    lost_after = 10

    def __init__(self, site, name):
        self.runs = {}
        # All runs so far with their request ids, in order.
        self.history = []
        self.copies = {}
        self.guard = threading.Lock()
        self.requests = 0
        super().__init__(site, "llm", name, 24)

    def handle(self, sock, reader, request):
        if request.path == "/larkwick/report":
            if not self.refused(sock, request):
                self.report(sock)
            return None
        if request.path == "/larkwick/kv-move":
            return self.move(sock, json.loads(request.body))
        if request.path.startswith("/larkwick/kv-handle/"):
            found = self.copies.pop(request.path.rsplit("/", 1)[1], None)
            answer(sock, 200 if found else 404)
            return None
        return self.generate(sock, request)

    def report(self, sock):
        with self.guard:
            runs = [[run_id, run.prompt_tokens + 4 * run.made, run.made, 5] for run_id, run in self.runs.items()]
        body = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "seq": 0, "queued": 0, "running": len(runs), "kv-used": sum(run[1] for run in runs),
                "kv-total": 34322, "handles": len(self.copies), "state": self.state, "runs": runs}
        answer(sock, 200, json.dumps(body).encode(), [("Content-Type", "application/json")])

    def move(self, sock, order):
        run_id, last = order["id"], order.get("last", False)
        log = self.site.record.line
        with self.guard:
            run = self.runs.get(run_id)
            busy = run is not None and run.copying
            if run is not None:
                run.copying = True
        if run is None or busy:
            answer(sock, 409 if busy else 404)
            log(f"{self.id} kv-move {run_id} last={last}: " + ("409, a call is under way" if busy else "404, no such run"))
            return None
        if last:
            run.stopped.set()
            run.closed.wait(5.0)
            log(f"{self.id} kv-move {run_id} last=True: stopped after event {run.made}, stream closed without its end")
        time.sleep(self.copy_s)
        handle = f"h-{run_id}"
        target = self.site.by_address(order["target-version"])
        self.copies[handle] = run.made
        if target:
            target.copies[f"{self.address}/{handle}"] = run.made
        run.copying = False
        if last and run_id in self.lose_stop_answer and self.site.trouble:
            log(f"{self.id} kv-move {run_id} last=True: done, its answer is lost (reset)")
            reset(sock)
            return False
        answer(sock, 200, json.dumps({"handle": handle, "made": run.made}).encode(),
               [("Content-Type", "application/json")])
        log(f"{self.id} kv-move {run_id} last={last}: 200, handle {handle}, made {run.made}")
        return None

    def generate(self, sock, request):
        run_id = request.headers.get("larkwick-request-id", "")
        log = self.site.record.line
        self.requests += 1
        if self.refused(sock, request):
            log(f"{self.id} answers 421 to {run_id}")
            return None
        source = request.headers.get("kv-from")
        made = int(request.headers.get("last-event-id", "0") or 0)
        if source is not None:
            # The copy is here, or this is the server that stopped the run. It serves once.
            address, handle = source.split("/", 1)
            origin = self.site.by_address(address)
            if origin is self:
                kept = self.copies.pop(handle, None)
            else:
                kept = self.copies.pop(source, None)
                if origin:
                    origin.copies.pop(handle, None)
            if kept is None:
                answer(sock, 503, b"", [("Larkwick-Not-Executed", "1"), ("Larkwick-Request-Id", run_id)])
                log(f"{self.id} refuses {run_id} from {source}: no copy")
                return None
        events = int(request.path.rstrip("/").rsplit("/", 1)[1])
        run = Run(made, int(request.headers.get("larkwick-token-count", "0,0").split(",")[0]))
        with self.guard:
            self.runs[run_id] = run
            self.history.append((run_id, run))
        log(f"{self.id} runs {run_id} from event {made + 1} of {events}" + (f", continued from {source}" if source else ""))
        unframed = run_id in self.unframed and source is None
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                f"Larkwick-Request-Id: {run_id}", "%s: %s" % SEAL]
        head.append("Connection: close" if unframed else "Transfer-Encoding: chunked")
        try:
            sock.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
            while run.made < events:
                if run.stopped.wait(self.gap_s):
                    return False
                if run_id in self.lose_answer and run.made == self.lost_after and self.site.lose_once(run_id):
                    log(f"{self.id} run {run_id}: its answer is lost after event {run.made}, the run goes on")
                    run.lost = True
                    # The connection ends before the last chunk.
                    sock.close()
                if run.lost:
                    run.made += 1
                    continue
                data = f"id: {run.made + 1}\ndata: piece {run.made + 1} of {events}\n\n".encode()
                sock.sendall(data if unframed else b"%x\r\n%s\r\n" % (len(data), data))
                run.made += 1
            if not unframed and not run.lost:
                sock.sendall(b"0\r\n\r\n")
            log(f"{self.id} finished {run_id}, {events} events" + (", ends with the connection" if unframed else ""))
            return not unframed and not run.lost
        except OSError as error:
            log(f"{self.id} run {run_id} dropped after event {run.made}: {error!r}")
            return False
        finally:
            run.ended = time.monotonic()
            with self.guard:
                self.runs.pop(run_id, None)
            if run.stopped.is_set() or unframed:
                # In this order, so that the stream is closed before the order to stop is answered.
                sock.close()
            run.closed.set()
