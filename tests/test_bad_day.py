"""The day of `make day` on sockets, in short: all its troubles at two fifths of their times."""

from pathlib import Path

import msgspec

from wellhitch.cli.check import read_day
from wellhitch.lab.play import play_sockets
from wellhitch.settings.day import Day, FaultSettings
from wellhitch.settings.server import duration_us

BAD_DAY = Path(__file__).parents[1] / "days" / "bad.jsonnet"
SHARE = 0.4


def shorter(text: str) -> str:
    return f"{round(duration_us(text) * SHARE)}us"


def in_short(day: Day) -> Day:
    troubles: list[FaultSettings] = [
        msgspec.structs.replace(trouble, at=shorter(trouble.at), length=shorter(trouble.length))
        for trouble in day.troubles
    ]
    return msgspec.structs.replace(day, length=shorter(day.length), troubles=troubles)


def test_the_bad_day_in_short_keeps_every_rule(tmp_path: Path) -> None:
    # Guards the README's main command: answers were held back on their connections, or decided too late (issue 29).
    done = play_sockets(in_short(read_day(BAD_DAY)), tmp_path, processes=True)
    assert done.verdict.violations == []
    assert done.verdict.examined["dialogues"] > 1000 and not done.left_open
