"""Runs one play: `python -m wellhitch.lab.crowd ATTACK CLIENTS SECONDS [--seed SEED] [--hangs]`."""

import asyncio

import click

from wellhitch.lab.crowd.attack import Attack
from wellhitch.lab.crowd.play import play


@click.command()
@click.argument("attack", type=click.Choice([attack.value for attack in Attack]))
@click.argument("clients", type=click.IntRange(1, 500))
@click.argument("seconds", type=click.FloatRange(0.1, 600))
@click.option("--seed", default=1, show_default=True)
@click.option("--hangs", is_flag=True, help="The office reads nothing.")
def main(attack: str, clients: int, seconds: float, seed: int, hangs: bool) -> None:
    """Load a call server process by CLIENTS for SECONDS, and print what its usual clients noticed."""
    outcome = asyncio.run(play(Attack(attack), clients, seconds, seed, hangs))
    print(f"{attack} {clients}{' hangs' if hangs else ''}: {outcome}")


main()
