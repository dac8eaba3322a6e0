"""Keys of the fault soak: callers whose keys are withdrawn under faults, and the promises checked at the leaves."""

import asyncio
import random
import signal
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import httpcore

from measure.soakhosts import REVOKE_S, SoakHost
from standins.platformleaf import PlatformLeaf, PlatformLeafFaults

__all__ = ["CALLERS", "SoakKeys"]

SERVICE = "keyed"
TEAMS = ("team-0", "team-1")
LEAVES = 3
CALLERS = 3
REQUEST_INTERVAL_S = 0.05
DEADLINE_MS = 1_500
# A withdrawn key is used on for some time, so that each host meets it.
LAST_WITHDRAWN = 4
MIN_SERVED_SHARE = 0.9
WAITING_REQUESTS = 3
FORGED_TEAM = "forged-team"


@dataclass(frozen=True, slots=True)
class _Key:
    text: str
    team: str


class SoakKeys:
    """Teams with keys, the leaves and callers of a route that needs one, and what was seen of them.

    All random numbers are its own, so that a listed seed goes on playing the same other faults.
    """

    def __init__(self, seed: int, hosts: Sequence[SoakHost], report: Callable[[str, str], None]) -> None:
        self.leaves = [PlatformLeaf(f"{SERVICE}-{number}", SERVICE, seed=seed) for number in range(LEAVES)]
        self.statuses: Counter[str] = Counter()
        # What became of requests with a key that is never withdrawn, after the end of the faults.
        self._late: Counter[str] = Counter()
        self._random = random.Random(f"keys {seed}")
        self._hosts = hosts
        self._report_breach = report
        self._numbers = 0
        self._kept = [self._new_key(team) for team in TEAMS]
        self._held = [self._new_key(team) for team in TEAMS]
        # When the store acknowledged the withdrawal of each key, on the monotonic clock.
        self._withdrawn_s: dict[_Key, float] = {}
        self._sent: dict[str, _Key] = {}
        self._is_settled = False

    def configuration(self) -> dict[str, Any]:
        """Return the part of the configuration that names the teams with their keys."""
        keys = [*self._kept, *self._held]
        return {
            "tenants": [
                {"name": team, "api_keys": [key.text for key in keys if key.team == team], "priority": number}
                for number, team in enumerate(TEAMS)
            ]
        }

    def route(self) -> dict[str, Any]:
        """Return the fields of the route that needs a key."""
        return {"name": SERVICE, "prefix": f"/{SERVICE}/", "kind": "idempotent", "service": SERVICE}

    def begin_late_requests(self) -> None:
        """Count from now on how many requests with a valid key are served."""
        self._is_settled = True

    def end_late_requests(self) -> None:
        """Count no further requests, since more of them would make those right after the faults count less."""
        self._is_settled = False

    async def call(self, number: int) -> None:
        """Send requests with valid, withdrawn and unknown keys repeatedly."""
        rng = random.Random(f"keyed caller {number}")
        pools: dict[str, httpcore.AsyncConnectionPool] = {}
        while True:
            host = rng.choice(self._hosts)
            pool = pools.setdefault(host.ip, httpcore.AsyncConnectionPool(max_connections=4))
            withdrawn = list(self._withdrawn_s)[-LAST_WITHDRAWN:]
            await self._ask(pool, host, rng.choice([*self._kept, *self._held, *withdrawn]))
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def inject(
        self, until: Callable[[], bool], write_configuration: Callable[[], None], note: Callable[[str], None]
    ) -> None:
        """Replace keys, fill leaves and suspend hosts at random times, until told to stop."""
        rng = self._random
        while not until():
            await asyncio.sleep(rng.uniform(0.3, 2.5))
            match rng.choices(("replace", "fill", "suspend"), (5, 2, 2))[0]:
                case "replace":
                    self._replace_key(write_configuration)
                case "fill":
                    leaf = rng.choice(self.leaves)
                    leaf.faults = PlatformLeafFaults(full=True)
                    await asyncio.sleep(rng.uniform(0.2, 1.0))
                    leaf.faults = PlatformLeafFaults()
                case "suspend":
                    host = rng.choice(self._hosts)
                    note(f"n{host.number} _pause")
                    await self._suspend(host, write_configuration)

    async def _suspend(self, host: SoakHost, write_configuration: Callable[[], None]) -> None:
        """Withdraw a key from a suspended host; requests with it are the first that the host handles afterwards."""
        host.signal(signal.SIGSTOP)
        key = self._replace_key(write_configuration)
        await asyncio.sleep(REVOKE_S + self._random.uniform(0.2, 1.0))
        async with httpcore.AsyncConnectionPool() as pool, asyncio.TaskGroup() as tasks:
            for _ in range(WAITING_REQUESTS):
                tasks.create_task(self._ask(pool, host, key))
            await asyncio.sleep(0.2)
            host.signal(signal.SIGCONT)

    def _replace_key(self, write_configuration: Callable[[], None]) -> _Key:
        old = self._held.pop(self._random.randrange(len(self._held)))
        self._held.append(self._new_key(old.team))
        write_configuration()
        self._withdrawn_s[old] = time.monotonic()
        return old

    def check(self) -> None:
        """Compare what leaves got with the keys that were valid, and with the teams that held them."""
        for leaf in self.leaves:
            for run in leaf.runs:
                key = self._sent[run.request_id]
                if run.headers.get("hawthornbridge-tenant") != key.team:
                    self._report_breach("a leaf gets the name of the team", f"{run.request_id}: {run.headers}")
                if key.text in str(run.headers) or FORGED_TEAM in str(run.headers):
                    self._report_breach("no leaf gets a key or a forged name", run.request_id)
            for arrival in leaf.arrivals:
                withdrawn_s = self._withdrawn_s.get(self._sent[arrival.request_id])
                if withdrawn_s is not None and arrival.at_s > withdrawn_s + REVOKE_S:
                    late_s = arrival.at_s - withdrawn_s
                    self._report_breach("a withdrawn key runs nothing", f"{arrival.request_id} after {late_s:.2f} s")
        served, asked = self._late["200"], sum(self._late.values())
        if served < MIN_SERVED_SHARE * asked:
            self._report_breach("valid keys are served after faults", f"{served} of {asked}: {dict(self._late)}")
        for host in self._hosts:
            log = host.log.read_text()
            if FORGED_TEAM in log or any(key.text in log for key in {*self._sent.values(), *self._kept}):
                self._report_breach("no key is logged", f"n{host.number}")

    def _new_key(self, team: str) -> _Key:
        return _Key(f"{self._random.getrandbits(64):016x}", team)

    async def _ask(self, pool: httpcore.AsyncConnectionPool, host: SoakHost, key: _Key) -> None:
        self._numbers += 1
        request_id = f"key-{self._numbers}"
        self._sent[request_id] = key
        is_valid = key in self._kept
        headers = [
            ("Host", "h.example"),
            ("Hawthornbridge-Attempt-Id", request_id),
            ("Hawthornbridge-Deadline-Ms", str(DEADLINE_MS)),
            ("Hawthornbridge-Tenant", FORGED_TEAM),
            ("Authorization", f"Token {key.text}"),
        ]
        timeout = {"connect": 1.0, "read": DEADLINE_MS / 1_000 + 1.0, "write": 1.0, "pool": 3.0}
        url = f"http://{host.ip}:{host.ports['front']}/{SERVICE}/x"
        try:
            answer = await pool.request("GET", url, headers=headers, extensions={"timeout": timeout})
            outcome = str(answer.status)
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            outcome = type(error).__name__
        self.statuses[f"keyed {outcome}"] += 1
        if is_valid and self._is_settled:
            self._late[outcome] += 1
        if is_valid and outcome == "401":
            self._report_breach("no valid key is denied", f"401 from n{host.number} for {request_id}")
