"""The answer of a resumable stream is lost while its server goes on with the run. Does the request go on at
another server while the first still works on it?"""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))

from deployment import CannotRun, run_case, send_in_turn  # noqa: E402

LOST = "aa00000000000003"
# As batch-check of the site: up to 10 events, a deadline of 6 s, and a pace that is in time.
EVENTS = 10
LOST_AFTER = 3
PACE_S = 0.16
PROMPT_TOKENS = 2200
DEADLINE_MS = 6000
# RULES.md, TWICE: how long the server before may still work on the request.
OVERLAP_MAX_S = 0.4


def check(site):
    log = site.record.line
    for engine in site.engines:
        engine.gap_s = PACE_S
        engine.lost_after = LOST_AFTER
        engine.lose_answer = frozenset([LOST])
    site.start()
    # Usual work: the lost answer is less than one in forty of what a server answers.
    send_in_turn(180, 0.03, lambda n: site.stream(site.instances[n % 3], f"bb{n:014x}", 3, "check", PROMPT_TOKENS, DEADLINE_MS))
    log("requests so far: " + ", ".join(f"{engine.id} {engine.requests}" for engine in site.engines))

    log(f"client sends {LOST} to {site.instances[0].name} on the resumable route, {EVENTS} events")
    answer = site.stream(site.instances[0], LOST, EVENTS, "check", PROMPT_TOKENS, DEADLINE_MS)
    log(f"client got {LOST}: status {answer.status}, {len(answer.event_numbers())} of {EVENTS} events, "
        f"closed as complete: {answer.complete} {answer.error}")
    # A server that goes on with the run has ended it by then.
    time.sleep(EVENTS * PACE_S)

    runs = [(engine.id, run) for engine in site.engines for run_id, run in engine.history if run_id == LOST]
    if not runs:
        raise CannotRun("the stream did not run")
    runs.sort(key=lambda item: item[1].began)
    is_broken = False
    for (before, first), (after, second) in zip(runs, runs[1:]):
        overlap_s = (first.ended or time.monotonic()) - second.began
        log(f"{LOST} went on at {after}; {before} worked on it until {overlap_s:.3f} s later")
        if before != after and overlap_s > OVERLAP_MAX_S:
            log(f"TWICE broken by {LOST}: it goes on at {after} while {before} still works on it")
            is_broken = True
    site.record_log_lines(LOST)
    return is_broken


run_case(HERE, check, engines=3, instances=3)
