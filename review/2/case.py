"""A machine gets SIGTERM while a stream that it has read waits for room at the servers. Does its client get an
answer?"""

import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))

from deployment import CannotRun, run_case  # noqa: E402

# A stream of the sheet's mean length, at a pace that is in time: 38 s.
LONG_EVENTS = 235
PACE_S = 0.16
LONG_PROMPT_TOKENS = 3000
SHORT_PROMPT_TOKENS = 2200
SHORT_DEADLINE_MS = 6000
# When the short streams are sent, after SIGTERM. Their client asked the directory just before and holds the
# answer for three times its time to live.
SENT_AT_S = (3.2, 3.6, 4.0)
# RULES.md, bounds of the site.
LOSS_SLACK_S = 0.2


def check(site):
    log = site.record.line
    for engine in site.engines:
        engine.gap_s = PACE_S
    site.start()
    leaving = site.instances[0]

    def fill(number):
        run_id = f"ee{number:014x}"
        answer = site.stream(site.instances[number % 3], run_id, LONG_EVENTS, "chat", LONG_PROMPT_TOKENS)
        log(f"client got {run_id}: status {answer.status}, {len(answer.event_numbers())} events, "
            f"closed as complete: {answer.complete} {answer.error}")

    # One a second until the two servers have no more room; the first ends long after the case.
    for number in range(24):
        threading.Thread(target=fill, args=(number,), daemon=True).start()
        time.sleep(0.9)
    log("running: " + ", ".join(f"{engine.id} {len(engine.runs)}" for engine in site.engines))

    addresses, ttl_s = site.resolve(site.instances[1])
    if leaving.front not in addresses or 3 * ttl_s < max(SENT_AT_S):
        raise CannotRun("no client would use the address")
    if site.trouble:
        log(f"SIGTERM to {leaving.name}")
        leaving.process.send_signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    results = {}

    def send(number):
        run_id = f"dd{number:014x}"
        sent_at = time.monotonic()
        log(f"client sends {run_id} to {leaving.name}")
        answer = site.stream(leaving, run_id, 3, "digest", SHORT_PROMPT_TOKENS, SHORT_DEADLINE_MS)
        took_s = time.monotonic() - sent_at
        results[run_id] = (answer, took_s)
        log(f"client got {run_id} after {took_s:.3f} s: status {answer.status}, "
            f"closed as complete: {answer.complete} {answer.error}")

    senders = []
    for number, at_s in enumerate(SENT_AT_S):
        time.sleep(max(0.0, stopped_at + at_s - time.monotonic()))
        senders.append(threading.Thread(target=send, args=(number,)))
        senders[-1].start()
    for sender in senders:
        sender.join()
    if site.trouble:
        leaving.process.wait()
        log(f"{leaving.name} ended {time.monotonic() - stopped_at:.3f} s after SIGTERM or before, "
            f"code {leaving.process.returncode}")

    ran = {run_id for engine in site.engines for run_id, _ in engine.history}
    is_broken = False
    for run_id, (answer, took_s) in results.items():
        # Closed without a reset: the process has read all that was sent.
        was_read_and_closed = answer.status == 0 and answer.closed
        if was_read_and_closed and LOSS_SLACK_S < took_s < SHORT_DEADLINE_MS / 1000.0:
            log(f"LOST broken by {run_id}: its connection is closed without an answer {took_s:.3f} s after it was "
                f"sent; a server had it: {run_id in ran}")
            is_broken = True
    for line in leaving.log_lines("instance stop"):
        log(f"{leaving.name} wrote: {line}")
    return is_broken


run_case(HERE, check, engines=2, instances=3)
