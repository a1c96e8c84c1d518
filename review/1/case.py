"""A tandem's late refusal of a dial that was given up ends the next dial, and a third goes out beside it."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

DESTINATION, FIRST_TANDEM, SECOND_TANDEM = 1, 2, 3
# In the line of the slow processor, which turns set-ups away only past 1.4 s (1,400 to 3,400 ms).
WAIT_S = 1.15
WORK_S = 0.012  # of a set-up at the usual speed


async def case(record: rig.Record) -> list[str]:
    offices = [rig.Office(record, number, hold_s=4.0) for number in range(4)]
    for office in offices:
        await office.listen()
    offices[DESTINATION].circuits = (0, 90)  # the direct group is full: calls go through a tandem
    board = rig.Board(record, offices)
    await board.listen()
    server = rig.CallServer(record, board)
    caller = rig.Caller(record)
    try:
        await server.start()
        await caller.connect(server.address)
        await asyncio.sleep(1)
        for tandem in (FIRST_TANDEM, SECOND_TANDEM):  # an ordinary call through each tandem
            caller.set_up(f"9b1f03aa5c7e2d{tandem:02x}", 3000, f"dest:{DESTINATION};width:1;via:{tandem}")
            await asyncio.sleep(1)
        calls = []
        for index in range(3):
            call = f"9b1f03aa5c7e2e{index:02x}"
            calls.append(call)
            slow = offices[FIRST_TANDEM]
            # Its group to the destination is full when it looks at the first set-up, and not any more at the next.
            looked_at: list[str] = []

            def refuse(ref: str, looked_at: list[str] = looked_at) -> tuple[int, str] | None:
                looked_at.append(ref)
                return (34, "turned_back") if len(looked_at) == 1 else None

            slow.refuse = refuse
            if rig.TROUBLE:
                record.add(
                    "case", "the processor of the first tandem is three times slower, and its line long"
                )
                slow.wait_s, slow.work_s = WAIT_S, 3 * WORK_S
            caller.set_up(call, 3200, f"dest:{DESTINATION};width:1;via:{FIRST_TANDEM}")
            await asyncio.sleep(5)
            slow.wait_s, slow.work_s, slow.refuse = 0.0, WORK_S, lambda ref: None
            await asyncio.sleep(5)
        return overlaps(record, offices, calls)
    finally:
        caller.close()
        server.stop()


def overlaps(record: rig.Record, offices: list[rig.Office], calls: list[str]) -> list[str]:
    """Pairs of dials of one dialogue that were out together."""
    faults = []
    for call in calls:
        dials = []
        for office in offices:
            sent = [at for at, ref in office.set_ups if ref == call]
            ends = sorted(at for at, ref in office.given_up if ref == call)
            answers = [at for at, ref in office.answers if ref == call]
            for index, at in enumerate(sent):
                # A dial is out until its answer is written or its release has been read, whichever is first. Answers
                # and releases come in the order of the set-ups.
                end = min(answers[index : index + 1] + ends[index : index + 1], default=record.now())
                dials.append((at, end, office.name))
        dials.sort()
        for (began, ended, name), (next_began, _, next_name) in zip(dials, dials[1:], strict=False):
            if next_began < ended - rig.SLACK_S:
                faults.append(
                    f"dialogue {call}: its dial at {name} was out from {began:.3f} to {ended:.3f} s, and "
                    f"another one reached {next_name} at {next_began:.3f} s"
                )
    return faults


rig.main(case, Path(__file__).resolve().parent)
