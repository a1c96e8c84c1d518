"""`wellhitch measure`: figures of this machine, each beside a baseline in the same run."""

import tempfile

import click

from wellhitch.lab import measure_ledger
from wellhitch.lab.measure import ServerBenchmark, decision_rate
from wellhitch.lab.measure_hooks import TEN_LINE_HOOK, report, simulate_suspensions


@click.group()
def measure() -> None:
    """Measurements, each beside a baseline in the same run."""


@measure.command()
@click.option(
    "--seconds", type=float, default=4.0, show_default=True, help="of each measurement over loopback"
)
def hooks(seconds: float) -> None:
    """What hooks cost, beside plain Python and beside no hooks.

    \b
    Example: wellhitch measure hooks
    """
    for line in [*report(), *simulate_suspensions()]:
        click.echo(line)
    # By turns, three times each: on a shared machine the minutes differ more than the two do.
    kinds = {
        "no hooks": ServerBenchmark(62),
        "a ten-line hook": ServerBenchmark(62, hooks={"ten": TEN_LINE_HOOK}),
    }
    turns = [{name: served.max_rate(seconds).per_s for name, served in kinds.items()} for _ in range(3)]
    for served in kinds.values():
        served.close()
    rates = {name: sorted(turn[name] for turn in turns)[1] for name in kinds}
    loops = ServerBenchmark(62, hooks={"loops": "on arrive { let n = 0 while n >= 0 { n = n + 1 } }"})
    click.echo(
        "set-up delay at 100 a second, with a hook that loops for ever at each dialogue until it is benched"
    )
    for name, served in (("no hooks", ServerBenchmark(62)), ("loops for ever", loops)):
        d = served.setup_delays(100, seconds)
        served.close()
        click.echo(
            f"  {name:16} stood {d.established}, median {d.median_us / 1000:.2f} ms, 99th {d.p99_us / 1000:.2f} ms"
        )
    share = sorted(turn["a ten-line hook"] / turn["no hooks"] for turn in turns)[1]
    click.echo("one call server process over loopback, 62 offices, dialogues a second")
    click.echo(
        "  "
        + ", ".join(f"{name} {rate:.0f}" for name, rate in rates.items())
        + f"; median of ratios {share:.0%}"
    )


@measure.command()
@click.option("--entries", type=int, default=200_000, show_default=True, help="on disk and to reconcile")
@click.option(
    "--seconds", type=float, default=4.0, show_default=True, help="of each measurement over loopback"
)
def ledger(entries: int, seconds: float) -> None:
    """The ledger: writing, recovery, verifying, and reconciling beside other ways; and what it costs a call server.

    \b
    Example: wellhitch measure ledger --entries 1000000
    """
    with tempfile.TemporaryDirectory(prefix="wellhitch-") as folder:
        # By turns, three times each: on a shared machine the minutes differ more than the two do.
        kinds = {"no ledger": ServerBenchmark(62), "a ledger": ServerBenchmark(62, ledger=folder)}
        turns = [{name: served.max_rate(seconds) for name, served in kinds.items()} for _ in range(3)]
        busy = {name: served.setup_delays(520, seconds) for name, served in kinds.items()}
        for served in kinds.values():
            served.close()
    click.echo("one call server process over loopback, 62 offices")
    for name, delays in busy.items():
        rate = sorted(turn[name].per_s for turn in turns)[1]
        click.echo(
            f"  {name:10} {rate:6.0f} dialogues a second at most; at 520 a second stood {delays.established}, "
            f"median {delays.median_us / 1000:.2f} ms, 99th {delays.p99_us / 1000:.2f} ms"
        )
    share = sorted(turn["a ledger"].per_s / turn["no ledger"].per_s for turn in turns)[1]
    dear = sorted(
        1e6
        * (
            turn["a ledger"].cpu_share / turn["a ledger"].per_s
            - turn["no ledger"].cpu_share / turn["no ledger"].per_s
        )
        for turn in turns
    )[1]
    click.echo(f"  median of ratios {share:.0%}")
    click.echo(f"  {dear:.0f} us of processor a dialogue: {dear * 520 / 1e4:.1f}% of a core at 520 a second")
    measure_ledger.report(entries, click.echo)


FLEETS = (26, 62, 200)
RATES = (8.4, 100.0, 520.0)  # 8.4: 520 a second over 62 exchanges


@measure.command()
@click.option("--seconds", type=float, default=4.0, show_default=True, help="of each measurement")
def server(seconds: float) -> None:
    """One call server process over loopback, beside a bare relay and the decisions alone.

    \b
    Example: wellhitch measure server --seconds 4
    """
    click.echo("dialogues a second of one process, set-up to final release, over loopback")
    click.echo("offices   relay     decide alone   both allow   call server   share   core used")
    for offices in FLEETS:
        relay = ServerBenchmark(offices, relay=True)
        bare = relay.max_rate(seconds)
        real = ServerBenchmark(offices)
        full = real.max_rate(seconds)
        alone = decision_rate(offices, full.per_s, 20_000)
        both = 1 / (1 / bare.per_s + 1 / alone)
        click.echo(
            f"{offices:7d} {bare.per_s:7.0f} {alone:16.0f} {both:12.0f} {full.per_s:13.0f}"
            f" {full.per_s / both:7.2f} {full.cpu_share:11.2f}"
        )
        if offices == 62:
            click.echo("  set-up delay added, offices that answer at once, by rate")
            for rate in RATES:
                for name, what in (("relay", relay), ("call server", real)):
                    d = what.setup_delays(rate, max(seconds, 300 / rate))
                    click.echo(
                        f"  {rate:6.1f} a second, {name:11}: stood {d.established}, not {d.others};"
                        f" median {d.median_us / 1000:.2f} ms, 99th {d.p99_us / 1000:.2f} ms"
                    )
            # A process of its own: one that has been busy has free memory of its own to use first.
            fresh = ServerBenchmark(offices)
            click.echo(f"  memory of a held dialogue: {fresh.bytes_per_dialogue(20_000):.0f} bytes")
            fresh.close()
        real.close()
        relay.close()
    click.echo("the decisions alone, by their own rate, 62 offices")
    for rate in (100.0, 1000.0, 5000.0):
        click.echo(f"  at {rate:.0f} a second: {1e6 / decision_rate(62, rate, 20_000):.0f} us a dialogue")
