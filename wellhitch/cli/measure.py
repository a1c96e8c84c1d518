"""`wellhitch measure`: benchmarks on this machine, each with a baseline from the same run."""

import tempfile

import click

from wellhitch.lab import measure_ledger
from wellhitch.lab.measure import ServerBenchmark, decision_rate
from wellhitch.lab.measure_hooks import TEN_LINE_HOOK, report, simulate_suspensions


@click.group()
def measure() -> None:
    """Benchmarks, each with a baseline from the same run."""


@measure.command()
@click.option(
    "--seconds", type=float, default=4.0, show_default=True, help="of each measurement over loopback"
)
def hooks(seconds: float) -> None:
    """Measure the cost of hooks, compared with plain Python and with no hooks.

    \b
    Example: wellhitch measure hooks
    """
    for line in [*report(), *simulate_suspensions()]:
        click.echo(line)
    # Alternating, three times each: on a shared machine the speed varies more over minutes than between the two.
    servers = {
        "no hooks": ServerBenchmark(62),
        "a ten-line hook": ServerBenchmark(62, hooks={"ten": TEN_LINE_HOOK}),
    }
    runs = [{name: served.max_rate(seconds).per_s for name, served in servers.items()} for _ in range(3)]
    for served in servers.values():
        served.close()
    rates = {name: sorted(run[name] for run in runs)[1] for name in servers}
    loops = ServerBenchmark(62, hooks={"loops": "on arrive { let n = 0 while n >= 0 { n = n + 1 } }"})
    click.echo(
        "set-up delay at 100 a second, with a hook that loops forever on each dialogue until it is disabled"
    )
    for name, served in (("no hooks", ServerBenchmark(62)), ("loops forever", loops)):
        delays = served.setup_delays(100, seconds)
        served.close()
        click.echo(
            f"  {name:16} established {delays.established}, "
            f"median {delays.median_us / 1000:.2f} ms, 99th {delays.p99_us / 1000:.2f} ms"
        )
    share = sorted(run["a ten-line hook"] / run["no hooks"] for run in runs)[1]
    click.echo("one call server process over loopback, 62 offices, dialogues a second")
    click.echo(
        "  "
        + ", ".join(f"{name} {rate:.0f}" for name, rate in rates.items())
        + f"; median of ratios {share:.0%}"
    )


@measure.command()
@click.option(
    "--entries", type=int, default=200_000, show_default=True, help="entries on disk and to reconcile"
)
@click.option(
    "--seconds", type=float, default=4.0, show_default=True, help="of each measurement over loopback"
)
def ledger(entries: int, seconds: float) -> None:
    """Measure the ledger: writing, recovery, verification, reconciliation compared with other methods, and its cost for
    a call server.

    \b
    Example: wellhitch measure ledger --entries 1000000
    """
    with tempfile.TemporaryDirectory(prefix="wellhitch-") as folder:
        # Alternating, three times each: on a shared machine the speed varies more over minutes than between the two.
        servers = {"no ledger": ServerBenchmark(62), "a ledger": ServerBenchmark(62, ledger=folder)}
        runs = [{name: served.max_rate(seconds) for name, served in servers.items()} for _ in range(3)]
        busy = {name: served.setup_delays(520, seconds) for name, served in servers.items()}
        for served in servers.values():
            served.close()
    click.echo("one call server process over loopback, 62 offices")
    for name, delays in busy.items():
        rate = sorted(run[name].per_s for run in runs)[1]
        click.echo(
            f"  {name:10} {rate:6.0f} dialogues a second at most; at 520 a second established {delays.established}, "
            f"median {delays.median_us / 1000:.2f} ms, 99th {delays.p99_us / 1000:.2f} ms"
        )
    share = sorted(run["a ledger"].per_s / run["no ledger"].per_s for run in runs)[1]
    cost_us = sorted(
        1e6
        * (
            run["a ledger"].cpu_share / run["a ledger"].per_s
            - run["no ledger"].cpu_share / run["no ledger"].per_s
        )
        for run in runs
    )[1]
    click.echo(f"  median of ratios {share:.0%}")
    click.echo(
        f"  {cost_us:.0f} us of processor a dialogue: {cost_us * 520 / 1e4:.1f}% of a core at 520 a second"
    )
    measure_ledger.report(entries, click.echo)


FLEET_SIZES = (26, 62, 200)
RATES_PER_S = (8.4, 100.0, 520.0)  # 8.4 is 520 a second spread over 62 exchanges


@measure.command()
@click.option("--seconds", type=float, default=4.0, show_default=True, help="of each measurement")
def server(seconds: float) -> None:
    """Measure one call server process over loopback, compared with a bare relay and with the decisions alone.

    \b
    Example: wellhitch measure server --seconds 4
    """
    click.echo("dialogues a second of one process, set-up to final release, over loopback")
    click.echo("offices   relay     decide alone   both allow   call server   share   core used")
    for offices in FLEET_SIZES:
        relay = ServerBenchmark(offices, relay=True)
        relay_rate = relay.max_rate(seconds)
        call_server = ServerBenchmark(offices)
        server_rate = call_server.max_rate(seconds)
        decisions_per_s = decision_rate(offices, server_rate.per_s, 20_000)
        combined_per_s = 1 / (1 / relay_rate.per_s + 1 / decisions_per_s)
        click.echo(
            f"{offices:7d} {relay_rate.per_s:7.0f} {decisions_per_s:16.0f} {combined_per_s:12.0f}"
            f" {server_rate.per_s:13.0f} {server_rate.per_s / combined_per_s:7.2f} {server_rate.cpu_share:11.2f}"
        )
        if offices == 62:
            click.echo("  set-up delay added, offices that answer at once, by rate")
            for rate in RATES_PER_S:
                for name, measured in (("relay", relay), ("call server", call_server)):
                    delays = measured.setup_delays(rate, max(seconds, 300 / rate))
                    click.echo(
                        f"  {rate:6.1f} a second, {name:11}: established {delays.established}, not {delays.others};"
                        f" median {delays.median_us / 1000:.2f} ms, 99th {delays.p99_us / 1000:.2f} ms"
                    )
            # In a new process: one that has been busy would first reuse memory that it has already freed.
            fresh = ServerBenchmark(offices)
            click.echo(f"  memory of a held dialogue: {fresh.bytes_per_dialogue(20_000):.0f} bytes")
            fresh.close()
        call_server.close()
        relay.close()
    click.echo("the decisions alone, by their own rate, 62 offices")
    for rate in (100.0, 1000.0, 5000.0):
        click.echo(f"  at {rate:.0f} a second: {1e6 / decision_rate(62, rate, 20_000):.0f} us a dialogue")
