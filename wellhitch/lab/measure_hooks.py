"""Measures hooks: what a call costs by each way of running it beside the same rule in plain Python, how soon the worst
program is stopped, and how long two hundred files take to load."""

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
"""A hook of ten lines, as staff write them."""

WORST = {
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


def in_python(call: dict[str, Any], hour: int, own_price: float) -> dict[str, Any]:
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


def _median(work: Callable[[], object], times: int) -> float:
    """Median time of a run, in us."""
    took = []
    for _ in range(times):
        began = time.perf_counter_ns()
        work()
        took.append(time.perf_counter_ns() - began)
    return sorted(took)[len(took) // 2] / 1000


def report(times: int = 3000) -> list[str]:
    """All measurements as lines."""
    parser = Parser()
    call = frames.Call(1, "card-lock", 3, "0800123", 3_000_000)
    facts = hook_inputs(call, 0, 9 * 3600 * 1_000_000)
    inputs: dict[str, Value] = {name: to_value(facts[name], t) for name, t in POINTS["arrive"].inputs.items()}
    file = parser.parse(TEN_LINE_HOOK, "ten")
    program = compile_file(file, Budget())
    walker = Interpreter(file, Budget())

    def walk() -> None:
        walker.budget = Budget(MAX_STEPS, MAX_MEMORY_CELLS)
        walker.run("arrive", inputs)

    hooks = Hooks(
        load_version({"ten": TEN_LINE_HOOK}, parser), frozenset({"card-lock"}), lambda event, **f: None
    )
    clock = [0]

    def host() -> None:
        clock[0] += 10_000
        hooks.evaluate("arrive", inputs, "k", clock[0])

    plain = _median(lambda: in_python(facts["call"], 9, 0.2), times)
    out = ["a ten-line hook, median of a call"]
    for name, took in (
        ("plain Python", plain),
        (
            "Python source, compiled",
            _median(lambda: program.run("arrive", inputs, Budget(MAX_STEPS, MAX_MEMORY_CELLS)), times),
        ),
        ("tree walker", _median(walk, times)),
        ("whole: hook, its answer, benches", _median(host, times)),
    ):
        out.append(f"  {name:36} {took:8.2f} us   {took / plain:5.1f} x plain Python")
    out.append(f"time to stop the worst programs, a budget of {MAX_STEPS} steps and {MAX_MEMORY_CELLS} cells")
    for name, body in WORST.items():
        worst = compile_file(
            parser.parse("function f(x) { return f(x + 1) } on arrive { " + body + " }", "w"), Budget()
        )
        began = time.perf_counter()
        kind = "ended"
        try:
            worst.run("arrive", inputs, Budget(MAX_STEPS, MAX_MEMORY_CELLS))
        except HookError as fault:
            kind = fault.kind
        out.append(f"  {name:36} {(time.perf_counter() - began) * 1000:8.2f} ms   {kind}")
    many = {f"{at:03}": TEN_LINE_HOOK for at in range(200)}
    began = time.perf_counter()
    load_version(many, parser)
    out.append(f"200 hooks of ten lines read, checked and compiled in {time.perf_counter() - began:.2f} s")
    return out


def simulate_suspensions(
    per_s: float = 8.0, seconds: float = 600.0, keys: int = 10, seed: int = 5
) -> list[str]:
    """Benches simulated: a hook that fails by chance, for one key or for all, at the rate of one exchange. Tells how
    many of its runs failed (work for nothing) and how many that would have ended well were passed over."""
    chance = random.Random(seed)
    out = [f"benches over {seconds:.0f} s at {per_s:.0f} dialogues a second, {keys} keys"]
    out.append(
        "  fails             of its dialogues: failed   passed over   lost, though they would have gone well"
    )
    for whose in ("one key", "all keys"):
        for share in (0.01, 0.05, 0.2, 0.5, 1.0):
            standing, now = HookSuspensions(), 0.0
            runs = failed = passed = lost = 0
            while now < seconds * 1e6:
                now += chance.expovariate(per_s) * 1e6
                key = str(chance.randrange(keys))
                fails = chance.random() < share and (whose == "all keys" or key == "0")
                runs += 1
                if not standing.may_run(key, int(now)):
                    passed += 1
                    lost += not fails
                elif fails:
                    failed += 1
                    standing.record_failure(key, int(now))
                else:
                    standing.record_success(key)
            out.append(
                f"  {share:4.0%} of {whose:9} {failed / runs:25.1%} {passed / runs:13.1%} {lost / runs:13.1%}"
            )
    return out
