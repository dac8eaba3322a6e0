"""Fakes for the operators' side: a change log in memory, a load, and a host that serves operators on loopback."""

import socket
import threading
import time

import anyio
import uvicorn

from hawthornbridge.acceptance import (
    ChangeAccepted,
    ChangeConflict,
    ChangeInvalid,
    ChangeNotAccepted,
    ChangeUncertain,
    HostProgress,
    QuorumMissing,
)
from hawthornbridge.domaincapacity import ShardLoad
from hawthornbridge.domains import DomainMoves
from hawthornbridge.model import (
    Catalogue,
    ChangeRejectedError,
    Entry,
    FailureDomain,
    PutFailureDomain,
    PutService,
    PutShardMap,
    PutUpstream,
    Service,
    ShardMap,
    Upstream,
    fold,
)
from hawthornbridge.operators import OperationsService, OperatorApp
from hawthornbridge.settings import LimitSettings

TOKEN = "operators-token-1"
NOW_MS = 1_000_000


CHANGES = [
    *(PutFailureDomain(FailureDomain(name=name)) for name in "abc"),
    PutService(Service(name="desk", routes=(), classes=(), version="v1")),
    PutShardMap(ShardMap(id="m", service="desk", shards=("s0",))),
    *(
        PutUpstream(
            Upstream(
                id=f"u-{name}",
                service="desk",
                shard="s0",
                failure_domain=name,
                version="v1",
                address="127.0.0.1:1",
                slots=2,
                connections=25,
            )
        )
        for name in "abc"
    ),
]


def catalogue():
    """One shard with an upstream in each of the domains a, b and c, whose generations are 1, 2 and 3."""
    return fold(CHANGES)


class FakeLoad:
    def __init__(self, busy=0.5, slots=2):
        self.rows = {name: ShardLoad("desk", "s0", name, slots, busy, 1) for name in "abc"}
        self.maps = {"desk": "m"}
        self.in_flight_by_domain = {}

    def set(self, domain, slots=2, busy=0.5, replicas=1):
        self.rows[domain] = ShardLoad("desk", "s0", domain, slots, busy, replicas)

    def shard_loads(self):
        return list(self.rows.values())

    def serving_maps(self):
        return self.maps

    def in_flight(self, domain):
        return self.in_flight_by_domain.get(domain, {})

    def host_loads(self):
        return {}


class FakeHead:
    """Hold the accepted entries; `fault` is None, "down", "no_quorum", "lost" or "always_lost".

    "lost" loses the answer to a change that is accepted, "always_lost" those to its repetitions as well.
    """

    def __init__(self, catalogue=None):
        self.catalogue = catalogue or Catalogue()
        self.entries = []
        self.fault = None

    def propose(self, change, expected, operation_id, force):
        if self.fault == "down":
            return ChangeNotAccepted("store unavailable")
        if self.fault == "no_quorum" and not force:
            return QuorumMissing(1, 2)
        if self.fault == "always_lost":
            return ChangeUncertain("answer lost")
        for entry in self.entries:
            if entry.operation_id == operation_id:
                return ChangeAccepted(entry.generation, True, False)
        current = self.catalogue.generation_of(change)
        if current != expected:
            winner = next((entry for entry in self.entries if entry.generation == current), None)
            return ChangeConflict(current, winner)
        entry = Entry(self.catalogue.generation + 1, operation_id, change)
        try:
            self.catalogue = self.catalogue.apply(entry)
        except ChangeRejectedError as error:
            return ChangeInvalid(error.field, error.detail)
        self.entries.append(entry)
        if self.fault == "lost":
            return ChangeUncertain("answer lost")
        return ChangeAccepted(entry.generation, False, force and self.fault == "no_quorum")


class FakeChangeLog:
    """Follow a head as one host does; `frozen` stops it from applying entries."""

    def __init__(self, head, host="h1"):
        self.head = head
        self.frozen = False
        self._applied = head.catalogue
        self.hosts = {host: HostProgress(host, 0, 0.0, False)}
        self._host = host
        self.following = {host}

    @property
    def catalogue(self):
        if not self.frozen:
            self._applied = self.head.catalogue
        return self._applied

    def set_host(self, host, generation=None, silent_s=0.0, leaving=False):
        """Add or change a host; without a generation it follows the head."""
        if generation is None:
            self.following.add(host)
        else:
            self.following.discard(host)
        self.hosts[host] = HostProgress(host, generation or 0, silent_s, leaving)

    async def propose(self, change, expected, operation_id, *, force=False):
        await anyio.sleep(0.01)
        return self.head.propose(change, expected, operation_id, force)

    async def wait_for(self, generation):
        while self.catalogue.generation < generation:
            await anyio.sleep(0.01)

    def progress(self):
        head = self.catalogue.generation
        return [
            HostProgress(
                host.host, head if host.host in self.following else host.generation, host.silent_s, host.leaving
            )
            for host in self.hosts.values()
        ]


async def probes(scope, receive, send):
    await send({"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"2")]})
    await send({"type": "http.response.body", "body": b"ok"})


class OperatorHost:
    """Serve operators on a loopback socket in a thread of its own."""

    def __init__(self):
        self.head = FakeHead(catalogue())
        self.load = FakeLoad()
        self.log = FakeChangeLog(self.head)
        self.moves = DomainMoves(self.log, self.load, "h1")
        self.cuts = []
        self.service = OperationsService(
            self.log,
            self.moves,
            self.load,
            cut=lambda rollout, reason: self.cuts.append((rollout.new, reason)),
            now_ms=lambda: NOW_MS,
        )
        app = OperatorApp(self.service, TOKEN, LimitSettings(body_bytes=4_096, read_ms=50), probes)
        self._server = uvicorn.Server(
            uvicorn.Config(app, port=0, http="httptools", loop="asyncio", lifespan="off", log_config=None)
        )
        # asyncio turns Nagle's algorithm off only on sockets that name their protocol; it costs 40 ms per answer.
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        self._socket.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self._thread = threading.Thread(target=self._run)
        self._thread.start()
        while not self._server.started:
            time.sleep(0.002)

    def _run(self):
        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.moves.run)
                await self._server.serve([self._socket])
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def reset(self):
        self.head.__init__(catalogue())
        self.load.__init__()
        self.log.__init__(self.head)
        self.cuts.clear()

    def close(self):
        self._server.should_exit = self._server.force_exit = True
        self._thread.join()
