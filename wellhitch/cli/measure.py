"""`wellhitch measure`: figures of this machine, each beside a baseline in the same run."""

import tempfile

import click

from wellhitch.lab import measure_ledger
from wellhitch.lab.measure import Measured, decide_alone
from wellhitch.lab.measure_hooks import TEN_LINES, benches, report


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
    for line in [*report(), *benches()]:
        click.echo(line)
    # By turns, three times each: on a shared machine the minutes differ more than the two do.
    kinds = {"no hooks": Measured(62), "a ten-line hook": Measured(62, hooks={"ten": TEN_LINES})}
    turns = [{name: served.full(seconds).per_s for name, served in kinds.items()} for _ in range(3)]
    for served in kinds.values():
        served.close()
    rates = {name: sorted(turn[name] for turn in turns)[1] for name in kinds}
    loops = Measured(62, hooks={"loops": "on arrive { let n = 0 while n >= 0 { n = n + 1 } }"})
    click.echo(
        "set-up delay at 100 a second, with a hook that loops for ever at each dialogue until it is benched"
    )
    for name, served in (("no hooks", Measured(62)), ("loops for ever", loops)):
        d = served.steady(100, seconds)
        served.close()
        click.echo(
            f"  {name:16} stood {d.stood}, median {d.median / 1000:.2f} ms, 99th {d.high / 1000:.2f} ms"
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
        kinds = {"no ledger": Measured(62), "a ledger": Measured(62, ledger=folder)}
        turns = [{name: served.full(seconds) for name, served in kinds.items()} for _ in range(3)]
        busy = {name: served.steady(520, seconds) for name, served in kinds.items()}
        for served in kinds.values():
            served.close()
    click.echo("one call server process over loopback, 62 offices")
    for name, delays in busy.items():
        rate = sorted(turn[name].per_s for turn in turns)[1]
        click.echo(
            f"  {name:10} {rate:6.0f} dialogues a second at most; at 520 a second stood {delays.stood}, "
            f"median {delays.median / 1000:.2f} ms, 99th {delays.high / 1000:.2f} ms"
        )
    share = sorted(turn["a ledger"].per_s / turn["no ledger"].per_s for turn in turns)[1]
    dear = sorted(
        1e6
        * (turn["a ledger"].core / turn["a ledger"].per_s - turn["no ledger"].core / turn["no ledger"].per_s)
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
        relay = Measured(offices, relay=True)
        bare = relay.full(seconds)
        real = Measured(offices)
        full = real.full(seconds)
        alone = decide_alone(offices, full.per_s, 20_000)
        both = 1 / (1 / bare.per_s + 1 / alone)
        click.echo(
            f"{offices:7d} {bare.per_s:7.0f} {alone:16.0f} {both:12.0f} {full.per_s:13.0f}"
            f" {full.per_s / both:7.2f} {full.core:11.2f}"
        )
        if offices == 62:
            click.echo("  set-up delay added, offices that answer at once, by rate")
            for rate in RATES:
                for name, what in (("relay", relay), ("call server", real)):
                    d = what.steady(rate, max(seconds, 300 / rate))
                    click.echo(
                        f"  {rate:6.1f} a second, {name:11}: stood {d.stood}, not {d.others};"
                        f" median {d.median / 1000:.2f} ms, 99th {d.high / 1000:.2f} ms"
                    )
            # A process of its own: one that has been busy has free memory of its own to use first.
            fresh = Measured(offices)
            click.echo(f"  memory of a held dialogue: {fresh.held(20_000):.0f} bytes")
            fresh.close()
        real.close()
        relay.close()
    click.echo("the decisions alone, by their own rate, 62 offices")
    for rate in (100.0, 1000.0, 5000.0):
        click.echo(f"  at {rate:.0f} a second: {1e6 / decide_alone(62, rate, 20_000):.0f} us a dialogue")
