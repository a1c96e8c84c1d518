"""`wellhitch serve`: the daemon."""

import asyncio
import os
import random
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec

from wellhitch.cli.check import read_server_settings
from wellhitch.cli.errors import exit_on_invalid_settings
from wellhitch.cli.logs import set_up
from wellhitch.hooks.state_file import MAX_STATE_BYTES
from wellhitch.ledger.entries import NumberKeys
from wellhitch.ledger.outbox import FolderOutbox
from wellhitch.ledger.service import AccountingChannel, SettlementService
from wellhitch.net.collector import freeze_startup_objects
from wellhitch.net.transport import LoopbackNetwork, now_us
from wellhitch.server.daemon import Daemon, Log, MakeSettlement, ServerAddresses
from wellhitch.server.hook_runner import WallClock
from wellhitch.settings.checked import InvalidSettings
from wellhitch.settings.server import ServerSettings, start_event
from wellhitch.store.files import read_file
from wellhitch.store.system import SystemDisk

MOST_KEYS = 1 << 20  # bytes of a file of keys: over ten thousand of them
CLOSE_WITHIN_S = 10.0  # for the ledger's last commit; a disk that takes longer is as good as lost
STOP_WITHIN = 10_000_000  # us; longer than any outer limit seen, so that what is owed can be answered


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--log-level", type=click.Choice(["debug", "info", "warning"]), default="info", show_default=True
)
def serve(file: Path, log_level: str) -> None:
    """Run one exchange's call server by the sheet FILE until SIGTERM.

    On SIGTERM nothing more is taken, owed answers are given, then it stops, within 10 s. A second SIGTERM stops it at
    once.

    \b
    Example: wellhitch serve fleet/exchange-3.jsonnet
    """
    with exit_on_invalid_settings():
        sheet = read_server_settings(file)
        keys, accounting = read_number_keys(sheet, file), read_accounting_channel(sheet, file)
    sys.exit(asyncio.run(_serve(sheet, file, log_level, keys, accounting)))


def read_number_keys(sheet: ServerSettings, file: Path) -> NumberKeys:
    """The keys for called numbers that a sheet names. Raises InvalidSettings."""
    if not sheet.ledger or not sheet.ledger.number_keys:
        return NumberKeys({})
    path = file.parent / sheet.ledger.number_keys
    try:
        plain = msgspec.json.decode(read_file(path, MOST_KEYS), type=dict[str, str])
        return NumberKeys({int(number): bytes.fromhex(key) for number, key in plain.items()})
    except (OSError, msgspec.MsgspecError, ValueError) as fault:
        raise InvalidSettings(str(path), [f"ledger.number_keys: {fault}"]) from None


def read_export_key(path: Path) -> bytes:
    """The key of the two sides of the export. Raises InvalidSettings."""
    try:
        key = bytes.fromhex(read_file(path, MOST_KEYS).decode().strip())
    except (OSError, ValueError) as fault:
        raise InvalidSettings(str(path), [f"ledger.export_key: {fault}"]) from None
    if len(key) != 32:
        raise InvalidSettings(str(path), [f"ledger.export_key: {len(key)} bytes, not 32"])
    return key


def read_accounting_channel(sheet: ServerSettings, file: Path) -> AccountingChannel | None:
    """The way to the accounting side that a sheet names. Raises InvalidSettings."""
    if not sheet.ledger or not sheet.ledger.export:
        return None
    key = read_export_key(file.parent / sheet.ledger.export_key)
    return AccountingChannel(key, FolderOutbox(file.parent / sheet.ledger.export, sheet.number))


def _ledger(
    sheet: ServerSettings,
    disk: SystemDisk,
    keys: NumberKeys,
    epoch: float,
    accounting: AccountingChannel | None,
) -> MakeSettlement:
    """The desk of a sheet's ledger. `epoch`: the wall clock's seconds when the loop's were nought."""
    line = sheet.ledger
    assert line

    def make(
        loop: asyncio.AbstractEventLoop, send: Callable[[int, bytes], bool], log: Log
    ) -> SettlementService:
        def wall(now: int) -> int:
            return now + round(epoch * 1e6)

        # The mark of a new disk must differ from that of any disk of this instance before.
        chance = random.Random(f"{sheet.seed} {os.getpid()} {epoch}")
        return SettlementService(
            loop, disk, sheet.number, line.roster, keys, wall, send, log, chance, accounting=accounting
        )

    return make


def wall_clock(began: float, now: int) -> WallClock:
    """People's local time for hooks, from the epoch's seconds at a time of the loop."""

    def at(later: int) -> tuple[int, int, str]:
        shown = time.localtime(began + (later - now) / 1e6)
        second = shown.tm_hour * 3600 + shown.tm_min * 60 + shown.tm_sec
        return second, shown.tm_wday + 1, time.strftime("%Y-%m-%d", shown)

    return WallClock(at)


KEEP_EVERY_S = 60  # what hooks remember may be so old after a process was killed


async def _keep(daemon: Daemon, state: Path, log: Log) -> None:
    """Write what hooks remember now and then, off the loop: no dialogue waits for a disk."""
    while True:
        await asyncio.sleep(KEEP_EVERY_S)
        await asyncio.to_thread(_write, state, daemon.dump_hooks_state(), log)


def read_state(state: Path, log: Log) -> bytes:
    """What hooks remembered, as far as it can be read; a start waits for no pipe and fails for no directory."""
    try:
        return read_file(state, MAX_STATE_BYTES)
    except FileNotFoundError:
        return b""  # the first start
    except OSError as fault:
        log("hooks_state_dropped", why=f"{state}: {fault}")
        return b""


def _write(state: Path, data: bytes, log: Log) -> None:
    """The whole file or the old one."""
    beside = state.with_name(state.name + ".new")
    try:
        beside.write_bytes(data)
        beside.replace(state)
    except OSError as fault:
        log("hooks_state_not_kept", why=f"{state}: {fault}")


async def _serve(
    sheet: ServerSettings, file: Path, log_level: str, keys: NumberKeys, accounting: AccountingChannel | None
) -> int:
    loop = asyncio.get_running_loop()
    logger = set_up(log_level)
    over: asyncio.Future[int] = loop.create_future()

    def log(event: str, **facts: Any) -> None:
        # One line a dialogue is for those who look for one: --log-level debug.
        (logger.debug if event == "dialogue" else logger.info)(event, **facts)

    def trouble(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        fault = context.get("exception")
        logger.error("fault", message=context.get("message"), fault=repr(fault))
        if "address" in context and not over.done():
            over.set_result(2)  # cannot listen at one of its doors: an address in use, say

    d = sheet.doors
    # A mark that is new with each start: the process id and the loop's clock, which nothing else reads.
    boot = (now_us(loop) << 16 | os.getpid() & 0xFFFF) & ((1 << 62) - 1)
    doors = ServerAddresses(d.callers, d.peers, d.operators, d.register, d.centre)
    disk = SystemDisk(loop, file.parent / sheet.ledger.folder) if sheet.ledger else None
    make_desk = _ledger(sheet, disk, keys, time.time() - now_us(loop) / 1e6, accounting) if disk else None
    daemon = Daemon(
        loop,
        LoopbackNetwork(loop),
        start_event(sheet),
        doors,
        sheet.limits.max_open,
        boot,
        log,
        hooks=sheet.hooks,
        clock=wall_clock(time.time(), now_us(loop)),
        read_hooks=lambda: read_server_settings(file).hooks,
        make_settlement=make_desk,
    )
    loop.set_exception_handler(trouble)
    # Before anything can end: set only at the end, it was said to nobody on a SIGTERM, which closes the ledger itself.
    closed = asyncio.Event()
    daemon.ledger_closed = closed.set  # type: ignore[method-assign]
    state = file.parent / sheet.hooks_state if sheet.hooks_state else None
    if state is not None:
        daemon.restore_hooks_state(read_state(state, log))
    keeping = loop.create_task(_keep(daemon, state, log)) if state is not None else None

    def stop() -> None:
        if daemon.switch.stopping:
            finish()
        else:
            daemon.stop(STOP_WITHIN, finish)

    def finish() -> None:
        if not over.done():
            over.set_result(0)

    for sign in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sign, stop)
    daemon.start()
    log("startup_objects_frozen", objects=freeze_startup_objects())
    code = await over
    if keeping is not None and state is not None:
        keeping.cancel()
        _write(state, daemon.dump_hooks_state(), log)
    daemon.kill()
    if disk:
        try:
            await asyncio.wait_for(closed.wait(), CLOSE_WITHIN_S)
        except TimeoutError:
            # Guards against a traceback, and a wait without end for the disk's thread, in place of a word.
            log("ledger_not_closed", why=f"the disk took over {CLOSE_WITHIN_S} s; what waited is lost")
            sys.stderr.flush()
            os._exit(code or 1)
        disk.close()
    await asyncio.sleep(0)
    return code
