"""Runs one trial: starts the processes and stand-ins of a plan, carries out its steps and collects the records."""

import asyncio
import random
import time
from dataclasses import dataclass, field
from pathlib import Path

from wellhitch.lab.loopback import allocate_loopback_address, process_loopback_host
from wellhitch.lab.trials.bad_client import bad_client
from wellhitch.lab.trials.client import Clients, ClientTrait
from wellhitch.lab.trials.discovery import Discovery, EndpointEntry, EndpointState
from wellhitch.lab.trials.endpoint import Endpoint, EndpointTraits
from wellhitch.lab.trials.plan import Action, FaultKind, TrialPlan, TrialStep
from wellhitch.lab.trials.process import CallServer, earliest_kill_s
from wellhitch.lab.trials.records import EventKind, Lag, Record, Records
from wellhitch.lab.trials.settings import CLASSES, settings_for
from wellhitch.lab.trials.sockets import open_connection
from wellhitch.stand_ins.platform import bodyless_request

READY_TIMEOUT_S = 30.0
SETTLE_TIME_S = 9.5  # after the last step and the traffic: all ended calls are reported by then
NEW_CONNECTIONS_AFTER_TERM_S = (0.2, 0.4)  # range of the time in which clients still open connections
FRAGMENT_BYTES = 20
LAG_SAMPLE_S = 0.02  # between measurements of the event loop's delay
MIN_RECORDED_LAG_S = 0.01
BURST_SETUPS = 60  # sent at once together with a crowd's connections
PAUSE_S = (0.02, 0.3)  # range of the time for which a call server is stopped
MAX_CROWD_LEAD_S = 0.03  # between a crowd's first connection and the first call report


@dataclass(eq=False)
class Trial:
    """One trial; `folder` holds its configurations and logs. `run` needs a running event loop."""

    plan: TrialPlan
    folder: Path
    records: Records = field(default_factory=Records)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.plan.seed ^ 0x5EED)
        self.ready: set[str] = set()
        self.pending_crowd = 0
        self._crowd_tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Start everything, carry out the steps, and wait for the reports of ended calls."""
        self.loop = asyncio.get_running_loop()
        self._build()
        tasks = [self.loop.create_task(self._keep_running(server)) for server in self.servers]
        try:
            await self._wait_until_ready()
            for clients in self.clients:
                tasks.append(self.loop.create_task(self._traffic(clients)))
            tasks.append(self.loop.create_task(self._poll_processes()))
            tasks.append(self.loop.create_task(self._record_lag()))
            self.started_at = self.loop.time()
            steps = [self.loop.create_task(self._run_step(step)) for step in self.plan.steps]
            tasks += steps
            await asyncio.gather(*steps)
            last_step_s = max((step.time_s for step in self.plan.steps), default=0.0)
            self.traffic_ends = self.started_at + max(self.plan.duration_s, last_step_s)
            await asyncio.sleep(max(0.0, self.traffic_ends - self.loop.time()) + SETTLE_TIME_S)
            self.ended_at = self.loop.time()
            for task in tasks:
                if task.done() and not task.cancelled() and task.exception() is not None:
                    raise task.exception()  # type: ignore[misc]
        finally:
            for task in (*tasks, *self._crowd_tasks):
                task.cancel()
            self._stop()

    # ---- processes and stand-ins ----

    def _build(self) -> None:
        plan, server_names = self.plan, [f"n{n}" for n in range(self.plan.servers)]
        self.server_names = server_names
        kinds = plan.kinds
        self.traits = EndpointTraits(
            hold_s=plan.hold_s,
            malformed_share=0.05 if FaultKind.SPOILT in kinds else 0.0,
            unanswered_share=self._unanswered_share(),
            fragment_bytes=FRAGMENT_BYTES if FaultKind.RUDE_WAYS in kinds else 0,
            max_serve_delay_s=0.6 if FaultKind.HASTY_CONNECTIONS in kinds else 0.0,
            close_after_write_share=0.05 if FaultKind.HASTY_CONNECTIONS in kinds else 0.0,
            idle_close_s=self.rng.uniform(0.7, 3.0) if FaultKind.IDLE_CLOSES in kinds else 0.0,
        )
        self.endpoints = [self._new_endpoint(cell) for cell in range(plan.endpoints)]
        self.states = {endpoint.id: EndpointState.UP for endpoint in self.endpoints}
        self.started_ms = {endpoint.id: 0 for endpoint in self.endpoints}
        self.discovery = Discovery(self.loop, self.records, process_loopback_host(), server_names)
        self.discovery.publish(*(self._entry(endpoint) for endpoint in self.endpoints))
        self.servers = [
            CallServer(
                name,
                cell,
                allocate_loopback_address(),
                self.folder,
                self.records,
                settings_for(plan, cell),
                plan.max_descriptors,
            )
            for cell, name in enumerate(server_names)
        ]
        self.clients = [
            Clients(
                self.loop,
                self.records,
                random.Random(plan.seed * 31 + server.cell),
                server.name,
                server.listen,
                dict(zip(CLASSES, plan.deadlines_s, strict=True)),
                [cell for cell in range(plan.endpoints) if cell != server.cell],
            )
            for server in self.servers
        ]
        for clients in self.clients:
            if FaultKind.RUDE_WAYS in kinds:
                clients.traits |= {
                    ClientTrait.FRAGMENTED,
                    ClientTrait.CANCELS_EARLY,
                    ClientTrait.RETRIES_AT_ONCE,
                }
            if FaultKind.BATCHES in kinds:
                clients.traits |= {ClientTrait.BATCHES, ClientTrait.SILENT}

    def _unanswered_share(self) -> float:
        """The share of set-ups that endpoints never answer."""
        if FaultKind.PARTITION in self.plan.kinds:
            return 0.15
        return 0.05 if FaultKind.SPOILT in self.plan.kinds else 0.0

    def _new_endpoint(self, cell: int) -> Endpoint:
        endpoint_id = f"s-{self.rng.getrandbits(32):08x}"
        rng = random.Random(self.rng.getrandbits(32))
        return Endpoint(
            self.loop,
            self.records,
            rng,
            endpoint_id,
            process_loopback_host(),
            cell,
            self.server_names,
            self.traits,
        )

    def _entry(self, endpoint: Endpoint) -> EndpointEntry:
        addresses = {name: endpoint.address(name) for name in self.server_names}
        return EndpointEntry(
            endpoint.id, endpoint.cell, addresses, self.states[endpoint.id], self.started_ms[endpoint.id]
        )

    def _stop(self) -> None:
        for clients in self.clients:
            clients.stop()
        for server in self.servers:
            server.check_process(self.loop.time())
            server.kill(self.loop.time())
        for endpoint in self.endpoints:
            endpoint.stop()
        self.discovery.stop()

    # ---- call servers ----

    async def _keep_running(self, server: CallServer) -> None:
        """Start a call server, wait until it is ready, and restart it whenever it has ended."""
        clients = self.clients[server.cell]
        while True:
            path = server.write_configuration(
                self.discovery.address(server.name),
                self.discovery.known_updates(server.name),
                self.rng.getrandbits(64),
            )
            server.start(path, self.loop.time())
            while server.running and not await self._answers_options(server):
                await asyncio.sleep(0.05)
            if server.running:
                self.records.add(Record(self.loop.time(), EventKind.SERVER_READY, server=server.name))
                self.ready.add(server.name)
                clients.no_new_connections = False
                await self._start_pending_crowd(clients)
                clients.report_established_calls()
            while server.running:
                await asyncio.sleep(0.02)
            server.check_process(self.loop.time())
            self.ready.discard(server.name)

    async def _answers_options(self, server: CallServer) -> bool:
        connection = await open_connection(self.loop, server.listen)
        if connection is None:
            return False
        answered = asyncio.Event()
        connection.on_data = lambda data: answered.set()
        connection.start()
        connection.write(bodyless_request("OPTIONS", "0000000000000001"))
        try:
            async with asyncio.timeout(1.0):
                await answered.wait()
        except TimeoutError:
            return False
        finally:
            connection.close()
        return True

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while len(self.ready) < len(self.servers):
                await asyncio.sleep(0.05)

    async def _terminate(self, server: CallServer) -> None:
        """Send SIGTERM, let clients connect for a short time, and send SIGKILL as early as operators allow."""
        clients = self.clients[server.cell]
        server.terminate(self.loop.time())
        generation = server.generation
        no_new_connections_after_s = self.rng.uniform(*NEW_CONNECTIONS_AFTER_TERM_S)
        kill_after_s = earliest_kill_s(max(self.plan.deadlines_s))
        await asyncio.sleep(no_new_connections_after_s)
        if server.generation == generation:
            clients.no_new_connections = True
        await asyncio.sleep(kill_after_s - no_new_connections_after_s)
        if server.generation == generation:
            server.kill(self.loop.time())

    async def _pause(self, server: CallServer) -> None:
        """Stop a call server process for a moment; everything it does is late by that."""
        paused_at = self.loop.time()
        server.pause()
        await asyncio.sleep(self.rng.uniform(*PAUSE_S))
        server.resume()
        resumed_at = self.loop.time()
        self.records.lags.append(Lag(resumed_at, resumed_at - paused_at))

    async def _poll_processes(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for server in self.servers:
                server.check_process(self.loop.time())
            for clients in self.clients:
                clients.close_idle()

    async def _record_lag(self) -> None:
        while True:
            sleep_started = self.loop.time()
            await asyncio.sleep(LAG_SAMPLE_S)
            delay_s = self.loop.time() - sleep_started - LAG_SAMPLE_S
            if delay_s > MIN_RECORDED_LAG_S:
                self.records.lags.append(Lag(self.loop.time(), delay_s))

    # ---- traffic ----

    async def _traffic(self, clients: Clients) -> None:
        """Send set-ups at random times, without waiting for answers, and occasionally release a call."""
        rng = random.Random(self.plan.seed * 97 + len(clients.server))
        while not hasattr(self, "traffic_ends") or self.loop.time() < self.traffic_ends:
            await asyncio.sleep(rng.expovariate(self.plan.rate_per_s))
            server = next(server for server in self.servers if server.name == clients.server)
            if server.running:
                clients.start_call()
            if rng.random() < 0.05:
                clients.release_random_call()

    async def _run_step(self, step: TrialStep) -> None:
        await asyncio.sleep(max(0.0, self.started_at + step.time_s - self.loop.time()))
        self._apply(step)
        if step.action is Action.TERMINATE:
            await self._terminate(self.servers[step.target])
        elif step.action is Action.CROWD:
            await self._crowd_at_random_server(step.target)
        elif step.action is Action.PAUSE:
            await self._pause(self.servers[step.target])
        elif step.action is Action.BAD_CLIENTS:
            await asyncio.gather(*(self._bad_client() for _ in range(step.target)))

    def _apply(self, step: TrialStep) -> None:
        endpoint = self.endpoints[step.target % len(self.endpoints)]
        discovery = self.discovery
        match step.action:
            case Action.KILL if self.servers[step.target].terminated_at is None:
                self.servers[step.target].kill(self.loop.time())
            case Action.VANISH:
                endpoint.vanish()
            case Action.REBOOT:
                endpoint.reboot()
                self.started_ms[endpoint.id] = int(time.time() * 1000)
            case Action.HANG:
                endpoint.hang()
            case Action.RESUME:
                endpoint.resume()
            case Action.CUT_OFF:
                endpoint.cut_off(self.server_names[step.target % len(self.server_names)])
            case Action.PARTITION:
                endpoint.partition()
            case Action.HEAL:
                endpoint.heal()
            case Action.DIE:
                endpoint.die()
            case Action.START_AGAIN:
                endpoint.restart()
                self.started_ms[endpoint.id] = int(time.time() * 1000)
            case Action.RESET_CONNECTIONS:
                endpoint.reset_connections()
            case Action.LIST_AGAIN:
                discovery.publish(self._entry(endpoint))
            case Action.DRAIN:
                self._set_state(endpoint, EndpointState.DRAINING)
            case Action.REMOVE:
                self._set_state(endpoint, EndpointState.REMOVED)
                endpoint.die()
            case Action.REPLACE:
                self._replace(step.target)
            case Action.DISCOVERY_REFUSES:
                discovery.refuse()
            case Action.DISCOVERY_UNREACHABLE:
                discovery.become_unreachable()
            case Action.DISCOVERY_RETURNS:
                discovery.recover()
            case Action.DISCOVERY_SILENT:
                discovery.fall_silent()
            case Action.DISCOVERY_BREAKS:
                discovery.break_mid_update()
            case Action.MOVE_DISCOVERY:
                self._move_discovery()
            case Action.CUT_OFF_CLIENTS:
                self.clients[step.target].cut_off()
            case Action.RESTORE_CLIENTS:
                self.clients[step.target].restore()
            case Action.RESET_CLIENT:
                self.clients[step.target].reset_connection()
            case Action.CROWD_AT_RETURN:
                self.pending_crowd = step.target

    def _set_state(self, endpoint: Endpoint, state: EndpointState) -> None:
        if self.states[endpoint.id] is not EndpointState.REMOVED:
            self.states[endpoint.id] = state
            self.discovery.publish(self._entry(endpoint))

    def _replace(self, index: int) -> None:
        replacement = self._new_endpoint(self.endpoints[index].cell)
        self.endpoints[index] = replacement
        self.states[replacement.id] = EndpointState.UP
        self.started_ms[replacement.id] = int(time.time() * 1000)
        self.discovery.publish(self._entry(replacement))

    def _move_discovery(self) -> None:
        for server in self.servers:
            address = self.discovery.move(server.name)
            server.write_configuration(address, self.discovery.known_updates(server.name), 1)
            if server.name in self.ready:
                server.reload()

    # ---- crowds ----

    async def _start_pending_crowd(self, clients: Clients) -> None:
        """Start the crowd planned for the next ready call server, and return while its connections are being opened."""
        connections, self.pending_crowd = self.pending_crowd, 0
        if connections:
            task = self.loop.create_task(self._run_crowd(clients, connections))
            self._crowd_tasks.add(task)
            task.add_done_callback(self._crowd_tasks.discard)
            await asyncio.sleep(self.rng.uniform(0.0, MAX_CROWD_LEAD_S))

    async def _crowd_at_random_server(self, connections: int) -> None:
        """Run a crowd at a random call server."""
        await self._run_crowd(self.rng.choice(self.clients), connections)

    async def _run_crowd(self, clients: Clients, connections: int) -> None:
        """Open many connections with one OPTIONS request each, and send a burst of set-ups."""
        opened = await asyncio.gather(
            *(open_connection(self.loop, clients.address) for _ in range(connections))
        )
        for _ in range(BURST_SETUPS):
            clients.start_call()
        for connection in opened:
            if connection is not None:
                connection.start()
                connection.write(bodyless_request("OPTIONS", "0000000000000002"))
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        for connection in opened:
            if connection is not None:
                connection.close()

    async def _bad_client(self) -> None:
        await bad_client(self.loop, self.rng, self.rng.choice(self.servers).listen, 3.0)
