"""One trial: the processes and stand-ins of a plan, its steps at their times, and the records that come of it."""

import asyncio
import random
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from wellhitch.lab.loopback import allocate_loopback_address, process_loopback_host
from wellhitch.lab.trials.client import Clients, Manner, bad_client
from wellhitch.lab.trials.discovery import Discovery, EndpointState, Listed
from wellhitch.lab.trials.endpoint import Endpoint, EndpointTraits
from wellhitch.lab.trials.plan import Act, Kind, TrialPlan, TrialStep
from wellhitch.lab.trials.process import CallServer, earliest_kill_s
from wellhitch.lab.trials.records import Lag, Record, Records, Seen
from wellhitch.lab.trials.sockets import open_connection
from wellhitch.stand_ins.platform import bodyless_request

READY_WITHIN_S = 30.0
TELL_LIMIT_S = 9.5  # after the last step: every call that is over has been told by then
NEW_CONNECTIONS_AFTER_TERM_S = (0.2, 0.4)
CLEAR_WAIT_S = 0.2
DRAIN_GRACE_S = 0.25
CLASSES = ("quick", "patient")
PIECE_BYTES = 20
LAG_STEP_S = 0.02  # between looks at the loop's own lateness
LAG_NOTED_S = 0.01
BURST = 60  # set-ups at once beside a crowd
CROWD_BEFORE_NAMING_S = 0.03  # at most, between a crowd's first connection and the first call that is named


def settings_of(plan: TrialPlan, cell: int) -> dict[str, Any]:
    """The settings as the platform writes them."""
    return {
        "balancers": plan.servers,
        "classes": [
            {
                "name": name,
                "importance": 1.0,
                "late_value": 0.25,
                "objective_ns": int(deadline * 3e8),
                "deadline_ns": int(deadline * 1e9),
                "semantics": "retryable",
                "group": "all",
            }
            for name, deadline in zip(CLASSES, plan.deadlines_s, strict=True)
        ],
        "family_info": {
            "self_no": cell,
            "topology": "meshed",
            "clear_wait_ns": int(CLEAR_WAIT_S * 1e9),
            "class_hold_ns": [int(plan.hold * 1e9)] * len(CLASSES),
            "circuits_by_class": [1] * len(CLASSES),
        },
        "limits": {
            "most_tries": 5,
            "max_open": 20000,
            "connect_timeout_ns": 500_000_000,
            "may_cancel": True,
            "probes": plan.may_probe,
        },
        "rules": {
            "drain_grace_ns": int(DRAIN_GRACE_S * 1e9),
            "cold_from": 0.33,
            "cold_ns": 15_000_000_000,
            "fall_multiple": 2.5,
            "tip_after_ns": 2_000_000_000,
        },
    }


@dataclass(eq=False)
class Trial:
    """One trial in its folder; `play` runs it on the running loop."""

    plan: TrialPlan
    folder: Path
    records: Records = field(default_factory=Records)

    def __post_init__(self) -> None:
        self.chance = random.Random(self.plan.seed ^ 0x5EED)
        self.ready: set[str] = set()
        self.crowd_at_return = 0
        self._crowds: set[asyncio.Task[None]] = set()

    async def play(self) -> None:
        """Start everything, let the steps happen, and wait until what is over has been told."""
        self.loop = asyncio.get_running_loop()
        self._build()
        tasks = [self.loop.create_task(self._serve(server)) for server in self.servers]
        try:
            await self._all_ready()
            for clients in self.clients:
                tasks.append(self.loop.create_task(self._traffic(clients)))
            tasks.append(self.loop.create_task(self._look()))
            tasks.append(self.loop.create_task(self._watch_lag()))
            self.started_at = self.loop.time()
            steps = [self.loop.create_task(self._step(step)) for step in self.plan.steps]
            tasks += steps
            await asyncio.gather(*steps)
            last = max((step.at for step in self.plan.steps), default=0.0)
            self.traffic_ends = self.started_at + max(self.plan.seconds, last)
            await asyncio.sleep(max(0.0, self.traffic_ends - self.loop.time()) + TELL_LIMIT_S)
            self.ended_at = self.loop.time()
            for task in tasks:
                if task.done() and not task.cancelled() and task.exception() is not None:
                    raise task.exception()  # type: ignore[misc]
        finally:
            for task in (*tasks, *self._crowds):
                task.cancel()
            self._stop()

    # ---- parties ----

    def _build(self) -> None:
        plan, names = self.plan, [f"n{n}" for n in range(self.plan.servers)]
        self.names = names
        kinds = plan.kinds
        self.traits = EndpointTraits(
            hold=plan.hold,
            spoilt_share=0.05 if Kind.SPOILT in kinds else 0.0,
            silent_share=0.05 if Kind.SPOILT in kinds else 0.0,
            piece_bytes=PIECE_BYTES if Kind.RUDE_WAYS in kinds else 0,
            late=0.6 if Kind.HASTY_CONNECTIONS in kinds else 0.0,
            closes_share=0.05 if Kind.HASTY_CONNECTIONS in kinds else 0.0,
            idle_close=self.chance.uniform(0.7, 3.0) if Kind.IDLE_CLOSES in kinds else 0.0,
        )
        self.endpoints = [self._endpoint(cell) for cell in range(plan.endpoints)]
        self.states = {endpoint.id: EndpointState.UP for endpoint in self.endpoints}
        self.starts = {endpoint.id: 0 for endpoint in self.endpoints}
        self.discovery = Discovery(self.loop, self.records, process_loopback_host(), names)
        self.discovery.tell(*(self._listed(endpoint) for endpoint in self.endpoints))
        self.servers = [
            CallServer(
                name,
                cell,
                allocate_loopback_address(),
                self.folder,
                self.records,
                settings_of(plan, cell),
                plan.sockets,
            )
            for cell, name in enumerate(names)
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
        if Kind.RUDE_WAYS in kinds:
            for clients in self.clients:
                clients.manners = {Manner.PIECES, Manner.IMPATIENT, Manner.REPEATS}

    def _endpoint(self, cell: int) -> Endpoint:
        made = f"s-{self.chance.getrandbits(32):08x}"
        chance = random.Random(self.chance.getrandbits(32))
        return Endpoint(
            self.loop, self.records, chance, made, process_loopback_host(), cell, self.names, self.traits
        )

    def _listed(self, endpoint: Endpoint) -> Listed:
        addresses = {name: endpoint.address(name) for name in self.names}
        return Listed(
            endpoint.id, endpoint.cell, addresses, self.states[endpoint.id], self.starts[endpoint.id]
        )

    def _stop(self) -> None:
        for clients in self.clients:
            clients.stop()
        for server in self.servers:
            server.look(self.loop.time())
            server.kill(self.loop.time())
        for endpoint in self.endpoints:
            endpoint.stop()
        self.discovery.stop()

    # ---- call servers ----

    async def _serve(self, server: CallServer) -> None:
        """Keep a call server running: start it, notice that it is ready, start it again when it has ended."""
        clients = self.clients[server.cell]
        while True:
            path = server.write_configuration(
                self.discovery.address(server.name),
                self.discovery.known(server.name),
                self.chance.getrandbits(64),
            )
            server.start(path, self.loop.time())
            while server.running and not await self._passes_test(server):
                await asyncio.sleep(0.05)
            if server.running:
                self.records.add(Record(self.loop.time(), Seen.SERVER_READY, server=server.name))
                self.ready.add(server.name)
                clients.stops_new_connections = False
                await self._crowd_at_return(clients)
                clients.retell()
            while server.running:
                await asyncio.sleep(0.02)
            server.look(self.loop.time())
            self.ready.discard(server.name)

    async def _passes_test(self, server: CallServer) -> bool:
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

    async def _all_ready(self) -> None:
        async with asyncio.timeout(READY_WITHIN_S):
            while len(self.ready) < len(self.servers):
                await asyncio.sleep(0.05)

    async def _terminate(self, server: CallServer) -> None:
        """SIGTERM, new connections for a little while, and SIGKILL at the earliest that the operators allow."""
        clients = self.clients[server.cell]
        server.terminate(self.loop.time())
        generation = server.generation
        stops_after = self.chance.uniform(*NEW_CONNECTIONS_AFTER_TERM_S)
        kill_after = earliest_kill_s(max(self.plan.deadlines_s))
        await asyncio.sleep(stops_after)
        if server.generation == generation:
            clients.stops_new_connections = True
        await asyncio.sleep(kill_after - stops_after)
        if server.generation == generation:
            server.kill(self.loop.time())

    async def _look(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for server in self.servers:
                server.look(self.loop.time())
            for clients in self.clients:
                clients.close_idle()

    async def _watch_lag(self) -> None:
        while True:
            before = self.loop.time()
            await asyncio.sleep(LAG_STEP_S)
            late = self.loop.time() - before - LAG_STEP_S
            if late > LAG_NOTED_S:
                self.records.lags.append(Lag(self.loop.time(), late))

    # ---- traffic ----

    async def _traffic(self, clients: Clients) -> None:
        """Set-ups at random times, without waiting for answers; now and then a client ends a call itself."""
        chance = random.Random(self.plan.seed * 97 + len(clients.server))
        while not hasattr(self, "traffic_ends") or self.loop.time() < self.traffic_ends:
            await asyncio.sleep(chance.expovariate(self.plan.rate))
            server = next(server for server in self.servers if server.name == clients.server)
            if server.running:
                clients.call()
            if chance.random() < 0.05:
                clients.release_one()

    async def _step(self, step: TrialStep) -> None:
        await asyncio.sleep(max(0.0, self.started_at + step.at - self.loop.time()))
        self._act(step)
        if step.act is Act.TERMINATE:
            await self._terminate(self.servers[step.target])
        elif step.act is Act.CROWD:
            await self._crowd(step.target)
        elif step.act is Act.BAD_CLIENTS:
            await asyncio.gather(*(self._bad_client() for _ in range(step.target)))

    def _act(self, step: TrialStep) -> None:
        endpoint = self.endpoints[step.target % len(self.endpoints)]
        discovery = self.discovery
        match step.act:
            case Act.KILL if self.servers[step.target].terminated_at is None:
                self.servers[step.target].kill(self.loop.time())
            case Act.VANISH:
                endpoint.vanish()
            case Act.REBOOT:
                endpoint.reboot()
                self.starts[endpoint.id] = int(time.time() * 1000)
            case Act.HANG:
                endpoint.hang()
            case Act.RESUME:
                endpoint.resume()
            case Act.CUT_OFF:
                endpoint.cut_off(self.names[step.target % len(self.names)])
            case Act.DIE:
                endpoint.die()
            case Act.START_AGAIN:
                endpoint.start_again()
                self.starts[endpoint.id] = int(time.time() * 1000)
            case Act.RESET_CONNECTIONS:
                endpoint.reset_connections()
            case Act.LIST_AGAIN:
                discovery.tell(self._listed(endpoint))
            case Act.DRAIN:
                self._list(endpoint, EndpointState.DRAINING)
            case Act.REMOVE:
                self._list(endpoint, EndpointState.REMOVED)
                endpoint.die()
            case Act.REPLACE:
                self._replace(step.target)
            case Act.DISCOVERY_REFUSES:
                discovery.refuse()
            case Act.DISCOVERY_UNREACHABLE:
                discovery.unreachable()
            case Act.DISCOVERY_RETURNS:
                discovery.return_()
            case Act.DISCOVERY_SILENT:
                discovery.fall_silent()
            case Act.DISCOVERY_BREAKS:
                discovery.break_in_mid_event()
            case Act.MOVE_DISCOVERY:
                self._move_discovery()
            case Act.CROWD_AT_RETURN:
                self.crowd_at_return = step.target

    def _list(self, endpoint: Endpoint, state: EndpointState) -> None:
        if self.states[endpoint.id] is not EndpointState.REMOVED:
            self.states[endpoint.id] = state
            self.discovery.tell(self._listed(endpoint))

    def _replace(self, index: int) -> None:
        fresh = self._endpoint(self.endpoints[index].cell)
        self.endpoints[index] = fresh
        self.states[fresh.id] = EndpointState.UP
        self.starts[fresh.id] = int(time.time() * 1000)
        self.discovery.tell(self._listed(fresh))

    def _move_discovery(self) -> None:
        for server in self.servers:
            address = self.discovery.move(server.name)
            server.write_configuration(address, self.discovery.known(server.name), 1)
            if server.name in self.ready:
                server.hang_up()

    # ---- crowds ----

    async def _crowd_at_return(self, clients: Clients) -> None:
        """Begin the crowd that waits for a call server to be ready, and go on while it comes up."""
        connections, self.crowd_at_return = self.crowd_at_return, 0
        if connections:
            crowd = self.loop.create_task(self._crowd_of(clients, connections))
            self._crowds.add(crowd)
            crowd.add_done_callback(self._crowds.discard)
            await asyncio.sleep(self.chance.uniform(0.0, CROWD_BEFORE_NAMING_S))

    async def _crowd(self, connections: int) -> None:
        """A crowd at one of the call servers."""
        await self._crowd_of(self.chance.choice(self.clients), connections)

    async def _crowd_of(self, clients: Clients, connections: int) -> None:
        """Hundreds of connections that say little, and a burst of set-ups."""
        opened = await asyncio.gather(
            *(open_connection(self.loop, clients.address) for _ in range(connections))
        )
        for _ in range(BURST):
            clients.call()
        for connection in opened:
            if connection is not None:
                connection.start()
                connection.write(bodyless_request("OPTIONS", "0000000000000002"))
        await asyncio.sleep(self.chance.uniform(0.5, 2.0))
        for connection in opened:
            if connection is not None:
                connection.close()

    async def _bad_client(self) -> None:
        await bad_client(self.loop, self.chance, self.chance.choice(self.servers).listen, 3.0)
