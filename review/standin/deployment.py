"""A small deployment on loopback: the store, servers and a few instances of the system as processes."""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

from net import call
from servers import Engine, Record
from store import Store

HOST = "site.example"
KEY = "key-of-tenant-a"
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


class CannotRun(Exception):
    """The case could not be set up."""


def free_port(taken):
    """Returns a free port below those that outgoing connections get, and adds it to `taken`."""
    while True:
        port = random.randrange(18000, 30000)
        if port in taken:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        taken.add(port)
        return port


class Instance:
    def __init__(self, site, name, ports, seeds):
        self.site, self.name = site, name
        self.front, self.control, self.ready, self.directory, self.operator = (
            f"127.0.0.1:{port}" for port in ports)
        self.path = os.path.join(site.folder, name + ".jsonc")
        # As deploy/larkwickd.jsonc is filled in for a small deployment.
        settings = {
            "instance": name, "hall": "z1", "caller_address": self.front,
            "operator_address": self.operator, "peer_address": self.control, "worker_threads": 1,
            "routing": {
                "ready_address": self.ready, "directory_address": self.directory,
                "store_address": site.store.address, "seed_addresses": seeds,
                "processor_cores": 0.25, "link_mbps": 1000.0, "memory_mb": 110,
                "hall_regions": {"z1": "r1"}, "canary_share": 0.1, "canary_slack": 50,
                "directory_valid_ms": 2000, "stop_within_s": 8, "retry_share": 0.2,
                "retry_slack": 58, "retry_window_s": 10, "change_within_ms": 2000,
                "load": {"reserve_for_urgent": True, "wait_past_objective": True,
                         "engine_pace": True, "plain_load": True},
            },
        }
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process = None

    def start(self):
        # The command of deploy/system.toml with this instance's settings file.
        command = [os.path.join(ROOT, "target/release/larkwickd"), "--settings", self.path]
        if not os.path.exists(command[0]):
            raise CannotRun("target/release/larkwickd is not built")
        log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)

    def is_ready(self):
        return call(self.ready, "GET", "/larkwick/readyz", [("Host", "x")], timeout=2.0).status == 200

    def wait_until_ready(self):
        until = time.monotonic() + 15.0
        while not self.is_ready():
            if time.monotonic() > until:
                raise CannotRun(f"{self.name} is not ready")
            time.sleep(0.05)

    def log_lines(self, text):
        with open(os.path.join(self.site.folder, self.name + ".log"), encoding="utf-8", errors="replace") as file:
            return [line.rstrip("\n") for line in file if text in line]


class Site:
    def __init__(self, record_path, engines=3, instances=3):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="larkwick-review-")
        self.store = Store()
        self.engines = [Engine(self, f"i-llm{n}") for n in range(engines)]
        self.instances = []
        self.lost = set()
        self.instance_count = instances
        self.record.line(f"disruption: {'on' if self.trouble else 'off'}")

    def lose_once(self, request_id):
        """Returns whether the answer to a request is to be lost; once for each request."""
        if not self.trouble or request_id in self.lost:
            return False
        self.lost.add(request_id)
        return True

    def by_address(self, address):
        return next((engine for engine in self.engines if engine.address == address), None)

    def config(self, version=1):
        def route(name, kind, service, timeout, goal, **more):
            return {"name": name, "host": HOST, "path-prefix": f"/{name}/", "kind": kind,
                    "timeout-ms": timeout, "goal-ms": goal, "priority": 1, "service": service,
                    "max-attempts": 1, "public": False, "sticky": kind == "stream",
                    "resumable": False} | more
        engine = {"slots": 24, "kv-capacity": 34322, "token-kv-bytes": 327680,
                  "link-mbps": 47000.0, "moves": True, "backups": True, "stride": 4, "most": 12,
                  "pin_ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0, "models": [{"name": "m"}]}
        return {
            "version": version,
            "routes": [route("chat", "stream", "llm", 39000, 1800, gap_aim_ms=180),
                       route("digest", "stream", "llm", 6000, 1500, gap_aim_ms=180, priority=0),
                       route("check", "stream", "llm", 6000, 1500, gap_aim_ms=180, priority=0,
                             **{"resumable": True, "max-attempts": 2})],
            "services": [{"name": "llm", "health-path": "/healthz", "max-conns": 242,
                          "protocol": "h1", "tls": False, "engine": engine}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "tenant-a", "api-keys": [KEY]}],
        }

    def start(self):
        self.store.put("keyed.op", "config", self.config())
        for server in self.engines:
            server.list()
        taken = set()
        ports = [[free_port(taken) for _ in range(5)] for _ in range(self.instance_count)]
        seeds = [f"127.0.0.1:{own[1]}" for own in ports][:3]
        for number, own in enumerate(ports):
            self.instances.append(Instance(self, f"front-{number}", own, seeds))
        for instance in self.instances:
            instance.start()
        for instance in self.instances:
            instance.wait_until_ready()
        # The first seconds after a start are not part of the case.
        time.sleep(3.0)

    def stream(self, instance, request_id, events, route="chat", prompt_tokens=1000, deadline_ms=39000):
        """Sends a request for a stream of so many events, and reads the answer."""
        headers = [("Host", HOST), ("Larkwick-Request-Id", request_id), ("Larkwick-Model", "m"),
                   ("Larkwick-Token-Count", f"{prompt_tokens},{events * 4}"),
                   ("Larkwick-Prompt-Prefix", f"5c1e07a2:79,{request_id}:{prompt_tokens - 79}"),
                   ("Larkwick-Deadline-Ms", str(deadline_ms)), ("Api-Key", KEY)]
        return call(instance.front, "POST", f"/{route}/{events}", headers, b"prompt", deadline_ms / 1000.0)

    def resolve(self, instance):
        """Asks the directory of an instance for the addresses to use; returns them and their time to live."""
        answer = call(instance.directory, "GET", f"/larkwick/resolve?name={HOST}&region=r1&zone=z1", [("Host", "x")], timeout=1.0)
        if answer.status != 200:
            raise CannotRun("the directory does not answer")
        told = json.loads(answer.body)
        self.record.line(f"the directory of {instance.name} tells {told}")
        return told["addrs"], told["ttl-s"]

    def record_log_lines(self, text):
        """Records what the instances wrote about `text`."""
        for instance in self.instances:
            for line in instance.log_lines(text):
                self.record.line(f"{instance.name} wrote: {line}")

    def stop(self):
        self.record.close()
        for instance in self.instances:
            if instance.process and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGKILL)
                instance.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def send_in_turn(count, interval_s, send):
    """Calls `send` with each number in a thread of its own, one each interval, and waits for all."""
    threads = [threading.Thread(target=send, args=(number,)) for number in range(count)]
    for thread in threads:
        thread.start()
        time.sleep(interval_s)
    for thread in threads:
        thread.join()


def run_case(folder, check, **sizes):
    """Runs `check` on a new deployment and exits: 1 if it returns that the rule was broken, 0 if it held,
    2 if the case could not run."""

    def ended(number, frame):
        raise CannotRun(f"ended by signal {number}")

    signal.signal(signal.SIGTERM, ended)
    signal.signal(signal.SIGINT, ended)
    site = None
    code = 2
    try:
        site = Site(os.path.join(folder, "record.txt"), **sizes)
        code = 1 if check(site) else 0
        site.record.line("rule broken" if code else "rule held")
    except BaseException:
        traceback.print_exc()
        if site:
            site.record.line("the case could not run: " + traceback.format_exc().strip().split("\n")[-1])
    finally:
        if site:
            site.stop()
    sys.stderr.flush()
    # Threads of the stand-ins may still hold connections open.
    os._exit(code)
