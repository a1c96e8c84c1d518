"""Benchmarks of hooks.

They measure the cost of a call by each way of running it, with the same rule in plain Python as the baseline, the time
to stop the worst programs, and the time to load two hundred files.
"""

import random
import time
from collections.abc import Callable
from typing import Any

from wellhitch.hooks.containment import HookSuspensions
from wellhitch.hooks.emit import compile_file
from wellhitch.hooks.grammar import Parser
from wellhitch.hooks.host import MAX_MEMORY_CELLS, MAX_STEPS, Hooks, load_version, to_value
from wellhitch.hooks.interpreter import Interpreter
from wellhitch.hooks.points import POINTS
from wellhitch.hooks.values import Budget, HookError, Value
from wellhitch.lab.hook_runs import hook_inputs
from wellhitch.trunk import frames

TEN_LINE_HOOK = """let partners = ["north", "south", "east"]
on arrive {
  let weight = 1
  if call.tenant in partners { weight = 0.8 }
  match call.use_case {
    "card"* => { weight = weight * 2 }
    "balance-check" if load.own_price > 0.5 and clock.hour in [9, 10, 11] => { weight = weight * 0.7 }
  }
  if starts(text(call.called), "0800") { return {favour: weight, tags: ["free"]} }
  return {favour: weight}
}
"""
"""A typical hook of ten lines."""

WORST_PROGRAMS = {
    "a loop that does nothing": "let n = 0 while n >= 0 { n = n + 1 n = n - 1 }",
    "an empty loop": "for i in 9000000 { }",
    "a list doubled": "let a = [1] while length(a) > 0 { a = a + a }",
    "a text doubled": 'let a = "x" while length(a) > 0 { a = a + a }',
    "long texts searched": 'let a = "abcdefgh" for i in 12 { a = a + a } for i in 9000 { let x = "zz" in a }',
    "long texts compared": 'let a = "abcdefgh" for i in 12 { a = a + a } let b = a + "" while a == b { b = b }',
    "deep calls": "let x = f(0)",
    "a record that grows": 'let a = {} let n = 0 while n >= 0 { n = n + 1 a["k" + text(n)] = n }',
    "lists pushed": "let a = [] while true { a = push(a, 1) if length(a) < 0 { break } }",
    "shared lists compared": "let a = [1] for i in 14 { a = [a, a] } let b = [a] let c = [a] while b == c { b = b }",
}


def run_in_python(call: dict[str, Any], hour: int, own_price: float) -> dict[str, Any]:
    """The ten-line hook as plain Python."""
    weight = 1.0
    if call["tenant"] in ("north", "south", "east"):
        weight = 0.8
    use_case = call["use_case"]
    if use_case.startswith("card"):
        weight = weight * 2
    elif use_case == "balance-check" and own_price > 0.5 and hour in (9, 10, 11):
        weight = weight * 0.7
    if str(call["called"]).startswith("0800"):
        return {"favour": weight, "tags": ["free"]}
    return {"favour": weight}


def _median_us(work: Callable[[], object], times: int) -> float:
    """Return the median time of a run in microseconds."""
    durations_ns = []
    for _ in range(times):
        started = time.perf_counter_ns()
        work()
        durations_ns.append(time.perf_counter_ns() - started)
    return sorted(durations_ns)[len(durations_ns) // 2] / 1000


def report(times: int = 3000) -> list[str]:
    """Run all measurements and return the lines of the report."""
    parser = Parser()
    call = frames.Call(1, "card-lock", 3, "0800123", 3_000_000)
    call_inputs = hook_inputs(call, 0, 9 * 3600 * 1_000_000)
    inputs: dict[str, Value] = {
        name: to_value(call_inputs[name], type_) for name, type_ in POINTS["arrive"].inputs.items()
    }
    file = parser.parse(TEN_LINE_HOOK, "ten")
    program = compile_file(file, Budget())
    interpreter = Interpreter(file, Budget())

    def run_interpreter() -> None:
        interpreter.budget = Budget(MAX_STEPS, MAX_MEMORY_CELLS)
        interpreter.run("arrive", inputs)

    hooks = Hooks(
        load_version({"ten": TEN_LINE_HOOK}, parser), frozenset({"card-lock"}), lambda event, **f: None
    )
    clock_us = [0]

    def run_in_host() -> None:
        clock_us[0] += 10_000
        hooks.evaluate("arrive", inputs, "k", clock_us[0])

    baseline_us = _median_us(lambda: run_in_python(call_inputs["call"], 9, 0.2), times)
    lines = ["a ten-line hook, median of a call"]
    for name, duration_us in (
        ("plain Python", baseline_us),
        (
            "Python source, compiled",
            _median_us(lambda: program.run("arrive", inputs, Budget(MAX_STEPS, MAX_MEMORY_CELLS)), times),
        ),
        ("tree walker", _median_us(run_interpreter, times)),
        ("whole: hook, its answer, benches", _median_us(run_in_host, times)),
    ):
        lines.append(f"  {name:36} {duration_us:8.2f} us   {duration_us / baseline_us:5.1f} x plain Python")
    lines.append(
        f"time to stop the worst programs, a budget of {MAX_STEPS} steps and {MAX_MEMORY_CELLS} cells"
    )
    for name, body in WORST_PROGRAMS.items():
        worst_program = compile_file(
            parser.parse("function f(x) { return f(x + 1) } on arrive { " + body + " }", "w"), Budget()
        )
        started = time.perf_counter()
        outcome = "ended"
        try:
            worst_program.run("arrive", inputs, Budget(MAX_STEPS, MAX_MEMORY_CELLS))
        except HookError as error:
            outcome = error.kind
        lines.append(f"  {name:36} {(time.perf_counter() - started) * 1000:8.2f} ms   {outcome}")
    sources = {f"{number:03}": TEN_LINE_HOOK for number in range(200)}
    started = time.perf_counter()
    load_version(sources, parser)
    lines.append(
        f"200 hooks of ten lines read, checked and compiled in {time.perf_counter() - started:.2f} s"
    )
    return lines


def simulate_suspensions(
    per_s: float = 8.0, seconds: float = 600.0, keys: int = 10, seed: int = 5
) -> list[str]:
    """Simulate the suspensions of a hook that fails at random, for one key or for all, at the rate of one exchange.

    The report gives the shares of dialogues for which the hook failed, for which it was skipped, and for which it was
    skipped although it would have succeeded.
    """
    rng = random.Random(seed)
    lines = [f"benches over {seconds:.0f} s at {per_s:.0f} dialogues a second, {keys} keys"]
    lines.append(
        "  fails             of its dialogues: failed   passed over   lost, though they would have gone well"
    )
    for scope in ("one key", "all keys"):
        for share in (0.01, 0.05, 0.2, 0.5, 1.0):
            suspensions, now = HookSuspensions(), 0.0
            dialogues = failed = skipped = needlessly_skipped = 0
            while now < seconds * 1e6:
                now += rng.expovariate(per_s) * 1e6
                key = str(rng.randrange(keys))
                fails = rng.random() < share and (scope == "all keys" or key == "0")
                dialogues += 1
                if not suspensions.may_run(key, int(now)):
                    skipped += 1
                    needlessly_skipped += not fails
                elif fails:
                    failed += 1
                    suspensions.record_failure(key, int(now))
                else:
                    suspensions.record_success(key)
            lines.append(
                f"  {share:4.0%} of {scope:9} {failed / dialogues:25.1%} {skipped / dialogues:13.1%}"
                f" {needlessly_skipped / dialogues:13.1%}"
            )
    return lines
