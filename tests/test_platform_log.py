"""The log of the platform's call server: it gives reasons, stays within a budget and never delays a call."""

import json
import os

from platform_world import World

from wellhitch.platform.event_log import BURST_LINES, EventLog, LineBudget
from wellhitch.stand_ins.platform import invite


def test_budget_refills_with_time() -> None:
    budget = LineBudget(10, 5)
    assert [budget.take(0) for _ in range(6)] == [True] * 5 + [False]
    assert budget.take(0.1) and not budget.take(0.1)
    assert [budget.take(100) for _ in range(6)] == [True] * 5 + [False]


def test_lines_past_the_budget_are_counted_in_the_next_one() -> None:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    now = [1000.0]
    log = EventLog(writer, lambda: now[0])
    for n in range(BURST_LINES + 7):
        log("request_refused", n=n)
        if n % 100 == 50:
            os.read(reader, 1 << 16)  # a pipe holds fewer lines than the budget
    assert log.dropped["request_refused"] == 7
    now[0] += 1
    log("status")
    line = json.loads(os.read(reader, 1 << 16).splitlines()[-1])
    assert line["lines_dropped"] == {"request_refused": 7} and not log.dropped


def test_log_without_a_reader_never_blocks() -> None:
    reader, writer = os.pipe()
    now = [0.0]
    log = EventLog(writer, lambda: now[0])
    for _ in range(3000):
        now[0] += 1
        log("status", text="x" * 100)
    assert log.dropped["status"] > 1000
    os.close(reader)
    log("status")
    assert log.dropped["status"] > 1000


def test_each_refusal_retry_and_end_names_its_call() -> None:
    world = World()
    world.offices[1].answers = False
    caller = world.caller()
    caller.send(invite("00000000000000aa"))
    world.run(0.05)
    world.offices[1].end_call("00000000000000aa", 41)
    world.run(1.5)
    lines = [(event, facts) for event, facts in world.log if facts.get("call") == "00000000000000aa"]
    ended = [facts["ending"] for event, facts in lines if event == "attempt_ended"]
    assert ended[0] == "reset" and [event for event, _ in lines][-1] == "set_up_refused"
    establish = world.establish("00000000000000bb", destination=2)
    world.offices[2].end_call("00000000000000bb", 16)
    world.run(0.2)
    events = [event for event, facts in world.log if facts.get("call") == "00000000000000bb"]
    assert events == ["call_established", "call_over"] and establish.byes("00000000000000bb")
