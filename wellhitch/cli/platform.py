"""`wellhitch platform`: the call server on the operators' platform."""

import asyncio
import os
import signal
import sys
import time
from typing import Any

import click

from wellhitch.cli.errors import exit_on_invalid_settings
from wellhitch.net.collector import freeze_startup_objects
from wellhitch.net.transport import LoopNetwork, require_ip_address
from wellhitch.platform.configuration import read_configuration
from wellhitch.platform.event_log import EventLog
from wellhitch.platform.service import ACCEPT_BACKLOG, Service, descriptor_shares
from wellhitch.settings.checked import InvalidSettings

STDERR = 2
# However long the settings let a connection take: one that is lost is tried again, and what discovery has when it can
# be reached again counts as told six seconds later.
LONGEST_CONNECT_S = 2.0


@click.command()
def platform() -> None:
    """Serve on the operators' platform, as LB_CONFIG says.

    \b
    LB_CONFIG=/run/balancer/config.json wellhitch platform

    SIGHUP reads the file again and follows the notice board's new address; SIGTERM answers what is owed and ends.
    """
    path = os.environ.get("LB_CONFIG", "")
    if not path:
        click.echo("LB_CONFIG = '': no file is named", err=True)
        sys.exit(2)
    with exit_on_invalid_settings():
        configuration = read_configuration(path)
    loop = asyncio.new_event_loop()
    log = EventLog(STDERR)
    _, _, at_once = descriptor_shares(configuration.max_descriptors)
    connect_timeout_s = min(configuration.connect_timeout_us / 1e6, LONGEST_CONNECT_S)
    network = LoopNetwork(loop, require_ip_address, connect_timeout_s, ACCEPT_BACKLOG, at_once)
    status = [0]

    def fault(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        raised = context.get("exception")
        log("loop_fault", message=context.get("message"), fault=repr(raised))
        if "address" in context:  # it cannot listen: nothing can be served
            status[0] = 1
            loop.stop()

    loop.set_exception_handler(fault)
    service = Service(loop, network, configuration, lambda: time.time_ns() // 1000, log, loop.stop)

    def hangup() -> None:
        try:
            service.reconfigure(read_configuration(path))
        except InvalidSettings as faults:  # the one in force stays
            log("configuration_refused", why=str(faults))

    loop.add_signal_handler(signal.SIGTERM, service.stop)
    loop.add_signal_handler(signal.SIGHUP, hangup)
    service.start()
    log("startup_objects_frozen", objects=freeze_startup_objects())
    loop.run_forever()
    # The interpreter's own clearing up takes a tenth of a second, and SIGKILL is that near. Nothing is left to write.
    os._exit(status[0])
