"""`wellhitch serve`: the call server as a daemon."""

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

MAX_KEY_FILE_BYTES = 1 << 20  # over ten thousand keys
LEDGER_CLOSE_TIMEOUT_S = 10.0  # for the ledger's last commit; a disk that takes longer is considered lost
STOP_TIMEOUT_US = 10_000_000  # longer than any deadline seen, so that pending calls can be answered


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--log-level", type=click.Choice(["debug", "info", "warning"]), default="info", show_default=True
)
def serve(file: Path, log_level: str) -> None:
    """Run the call server of one exchange with the settings in FILE until SIGTERM.

    On SIGTERM it accepts no more calls, answers the pending ones, and stops within 10 s. A second SIGTERM stops it
    immediately.

    \b
    Example: wellhitch serve fleet/exchange-3.jsonnet
    """
    with exit_on_invalid_settings():
        settings = read_server_settings(file)
        keys, accounting = read_number_keys(settings, file), read_accounting_channel(settings, file)
    sys.exit(asyncio.run(_serve(settings, file, log_level, keys, accounting)))


def read_number_keys(settings: ServerSettings, file: Path) -> NumberKeys:
    """Read the keys for called numbers from the file that the settings name. Raises InvalidSettings."""
    if not settings.ledger or not settings.ledger.number_keys:
        return NumberKeys({})
    path = file.parent / settings.ledger.number_keys
    try:
        plain = msgspec.json.decode(read_file(path, MAX_KEY_FILE_BYTES), type=dict[str, str])
        return NumberKeys({int(number): bytes.fromhex(key) for number, key in plain.items()})
    except (OSError, msgspec.MsgspecError, ValueError) as error:
        raise InvalidSettings(str(path), [f"ledger.number_keys: {error}"]) from None


def read_export_key(path: Path) -> bytes:
    """Read the key that the call server and the accounting system share. Raises InvalidSettings."""
    try:
        key = bytes.fromhex(read_file(path, MAX_KEY_FILE_BYTES).decode().strip())
    except (OSError, ValueError) as error:
        raise InvalidSettings(str(path), [f"ledger.export_key: {error}"]) from None
    if len(key) != 32:
        raise InvalidSettings(str(path), [f"ledger.export_key: {len(key)} bytes, must be 32"])
    return key


def read_accounting_channel(settings: ServerSettings, file: Path) -> AccountingChannel | None:
    """Return the channel to the accounting system that the settings name. Raises InvalidSettings."""
    if not settings.ledger or not settings.ledger.export:
        return None
    key = read_export_key(file.parent / settings.ledger.export_key)
    return AccountingChannel(key, FolderOutbox(file.parent / settings.ledger.export, settings.number))


def _settlement_factory(
    settings: ServerSettings,
    disk: SystemDisk,
    keys: NumberKeys,
    epoch_s: float,
    accounting: AccountingChannel | None,
) -> MakeSettlement:
    """Return a factory of the settlement service. `epoch_s` is the wall clock, in seconds, at time 0 of the loop."""
    ledger = settings.ledger
    assert ledger

    def make(
        loop: asyncio.AbstractEventLoop, send: Callable[[int, bytes], bool], log: Log
    ) -> SettlementService:
        def wall_us(now: int) -> int:
            return now + round(epoch_s * 1e6)

        # The random id of a new disk must differ from the ids of all earlier disks of this instance.
        rng = random.Random(f"{settings.seed} {os.getpid()} {epoch_s}")
        return SettlementService(
            loop, disk, settings.number, ledger.roster, keys, wall_us, send, log, rng, accounting=accounting
        )

    return make


def wall_clock(epoch_s: float, now: int) -> WallClock:
    """Return the clock of the hooks, in local time. `epoch_s` is the wall clock at the loop's time `now`."""

    def local_time(later: int) -> tuple[int, int, str]:
        local = time.localtime(epoch_s + (later - now) / 1e6)
        second = local.tm_hour * 3600 + local.tm_min * 60 + local.tm_sec
        return second, local.tm_wday + 1, time.strftime("%Y-%m-%d", local)

    return WallClock(local_time)


HOOKS_STATE_INTERVAL_S = 60  # a process that is killed loses at most the hooks' state of this time


async def _write_hooks_state_periodically(daemon: Daemon, state_file: Path, log: Log) -> None:
    """Write the state of the hooks from time to time, in a thread, so that no dialogue waits for the disk."""
    while True:
        await asyncio.sleep(HOOKS_STATE_INTERVAL_S)
        await asyncio.to_thread(_write_hooks_state, state_file, daemon.dump_hooks_state(), log)


def read_hooks_state(state_file: Path, log: Log) -> bytes:
    """Read the saved state of the hooks, if there is any. A pipe at the path does not block the start, and a directory
    does not fail it."""
    try:
        return read_file(state_file, MAX_STATE_BYTES)
    except FileNotFoundError:
        return b""  # the first start
    except OSError as error:
        log("hooks_state_dropped", why=f"{state_file}: {error}")
        return b""


def _write_hooks_state(state_file: Path, data: bytes, log: Log) -> None:
    """Replace the file atomically: it has the new content in full, or the old one."""
    new_file = state_file.with_name(state_file.name + ".new")
    try:
        new_file.write_bytes(data)
        new_file.replace(state_file)
    except OSError as error:
        log("hooks_state_not_kept", why=f"{state_file}: {error}")


async def _serve(
    settings: ServerSettings,
    file: Path,
    log_level: str,
    keys: NumberKeys,
    accounting: AccountingChannel | None,
) -> int:
    loop = asyncio.get_running_loop()
    logger = set_up(log_level)
    exit_code: asyncio.Future[int] = loop.create_future()

    def log(event: str, **facts: Any) -> None:
        # The line of each dialogue is only logged with --log-level debug.
        (logger.debug if event == "dialogue" else logger.info)(event, **facts)

    def handle_loop_error(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        logger.error("fault", message=context.get("message"), fault=repr(error))
        if "address" in context and not exit_code.done():
            exit_code.set_result(2)  # cannot listen at one of its addresses, for example one in use

    listeners = settings.doors
    # Differs with each start: consists of the time of the loop's clock and the process id.
    boot_id = (now_us(loop) << 16 | os.getpid() & 0xFFFF) & ((1 << 62) - 1)
    addresses = ServerAddresses(
        listeners.callers, listeners.peers, listeners.operators, listeners.register, listeners.centre
    )
    disk = SystemDisk(loop, file.parent / settings.ledger.folder) if settings.ledger else None
    make_settlement = (
        _settlement_factory(settings, disk, keys, time.time() - now_us(loop) / 1e6, accounting)
        if disk
        else None
    )
    daemon = Daemon(
        loop,
        LoopbackNetwork(loop),
        start_event(settings),
        addresses,
        settings.limits.max_open,
        boot_id,
        log,
        hooks=settings.hooks,
        clock=wall_clock(time.time(), now_us(loop)),
        read_hooks=lambda: read_server_settings(file).hooks,
        make_settlement=make_settlement,
    )
    loop.set_exception_handler(handle_loop_error)
    # Assigned before the daemon starts: SIGTERM closes the ledger, and a callback set later would miss it.
    closed = asyncio.Event()
    daemon.ledger_closed = closed.set  # type: ignore[method-assign]
    state_file = file.parent / settings.hooks_state if settings.hooks_state else None
    if state_file is not None:
        daemon.restore_hooks_state(read_hooks_state(state_file, log))
    state_writer = (
        loop.create_task(_write_hooks_state_periodically(daemon, state_file, log))
        if state_file is not None
        else None
    )

    def stop() -> None:
        if daemon.switch.stopping:
            finish()
        else:
            daemon.stop(STOP_TIMEOUT_US, finish)

    def finish() -> None:
        if not exit_code.done():
            exit_code.set_result(0)

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop)
    daemon.start()
    log("startup_objects_frozen", objects=freeze_startup_objects())
    code = await exit_code
    if state_writer is not None and state_file is not None:
        state_writer.cancel()
        _write_hooks_state(state_file, daemon.dump_hooks_state(), log)
    daemon.kill()
    if disk:
        try:
            await asyncio.wait_for(closed.wait(), LEDGER_CLOSE_TIMEOUT_S)
        except TimeoutError:
            # Exit without joining the thread of the disk, which could block forever or end in a traceback.
            log(
                "ledger_not_closed",
                why=f"the disk took over {LEDGER_CLOSE_TIMEOUT_S} s; uncommitted entries are lost",
            )
            sys.stderr.flush()
            os._exit(code or 1)
        disk.close()
    await asyncio.sleep(0)
    return code
