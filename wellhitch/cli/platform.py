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
# Upper bound, whatever connect timeout the configuration allows: a lost connection is tried again, and the state that
# discovery has once it is reachable again counts as known to this server six seconds later.
MAX_CONNECT_TIMEOUT_S = 2.0


@click.command()
def platform() -> None:
    """Run the call server on the operators' platform, with the configuration file that LB_CONFIG names.

    \b
    LB_CONFIG=/run/balancer/config.json wellhitch platform

    SIGHUP reads the file again and connects to discovery at its new address. SIGTERM answers the pending calls and
    exits.
    """
    path = os.environ.get("LB_CONFIG", "")
    if not path:
        click.echo("LB_CONFIG = '': must name a configuration file", err=True)
        sys.exit(2)
    with exit_on_invalid_settings():
        configuration = read_configuration(path)
    loop = asyncio.new_event_loop()
    log = EventLog(STDERR)
    _, _, at_once = descriptor_shares(configuration.max_descriptors)
    connect_timeout_s = min(configuration.connect_timeout_us / 1e6, MAX_CONNECT_TIMEOUT_S)
    network = LoopNetwork(loop, require_ip_address, connect_timeout_s, ACCEPT_BACKLOG, at_once)
    exit_status = [0]

    def handle_loop_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        log("loop_fault", message=context.get("message"), fault=repr(error))
        if "address" in context:  # cannot listen, so no caller can be served
            exit_status[0] = 1
            loop.stop()

    loop.set_exception_handler(handle_loop_error)
    service = Service(loop, network, configuration, lambda: time.time_ns() // 1000, log, loop.stop)

    def reload() -> None:
        try:
            service.reconfigure(read_configuration(path))
        except InvalidSettings as error:  # the present configuration is kept
            log("configuration_refused", why=str(error))

    loop.add_signal_handler(signal.SIGTERM, service.stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    service.start()
    log("startup_objects_frozen", objects=freeze_startup_objects())
    loop.run_forever()
    # Skips the interpreter's finalisation, which takes 0.1 s: SIGKILL may come as soon. Nothing is left to write.
    os._exit(exit_status[0])
