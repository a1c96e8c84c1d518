"""The day of `make day` on sockets, shortened: all times are scaled to two fifths."""

from pathlib import Path

import msgspec

from wellhitch.cli.check import read_day
from wellhitch.lab.play import play_sockets
from wellhitch.settings.day import Day, FaultSettings
from wellhitch.settings.server import duration_us

BAD_DAY = Path(__file__).parents[1] / "days" / "bad.jsonnet"
TIME_SCALE = 0.4


def scaled(text: str) -> str:
    return f"{round(duration_us(text) * TIME_SCALE)}us"


def shortened(day: Day) -> Day:
    faults: list[FaultSettings] = [
        msgspec.structs.replace(fault, at=scaled(fault.at), length=scaled(fault.length))
        for fault in day.troubles
    ]
    return msgspec.structs.replace(day, length=scaled(day.length), troubles=faults)


def test_the_shortened_bad_day_has_no_violations(tmp_path: Path) -> None:
    # Guards the README's main command: answers were delayed on their connections, or decided too late (issue 29).
    played = play_sockets(shortened(read_day(BAD_DAY)), tmp_path, processes=True)
    assert played.verdict.violations == []
    assert played.verdict.examined["dialogues"] > 1000 and not played.left_open
