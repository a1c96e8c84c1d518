"""Runs one play: `python -m wellhitch.lab.crowd ATTACK CLIENTS SECONDS [SEED]`."""

import asyncio
import sys

from wellhitch.lab.crowd.attack import Attack
from wellhitch.lab.crowd.play import play

DEFAULT_SEED = 1


def main() -> None:
    """Play and print the outcome."""
    attack, clients, seconds, *seed = sys.argv[1:]
    outcome = asyncio.run(
        play(Attack(attack), int(clients), float(seconds), int(seed[0]) if seed else DEFAULT_SEED)
    )
    print(f"{attack} {clients}: {outcome}")


main()
