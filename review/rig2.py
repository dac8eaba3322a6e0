"""Rig of the cases 6 to 10: hosts as the deploy file starts them, and callers; the stand-ins are the project's own."""

import asyncio
import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from standins.platformleaf import PlatformLeaf  # noqa: E402
from standins.platformstore import Outage, PlatformStore  # noqa: E402

__all__ = ["Caller", "Host", "Outage", "PlatformLeaf", "PlatformStore", "Rig", "Sent", "main"]

BROKEN, HELD, NOT_RUN = 1, 0, 2
# The bounds and limits of the sheet of Swapsies Queensland (SYSTEM.md), spelled as DEPLOY.md shows them.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 4000,
    "ack_timeout_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "skew_max_ms": 12000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_budget_slack": 54,
    "exposure_share": 0.1,
    "exposure_slack": 50,
    "rollback_ms": 5000,
    "warmup_factor": 1.5,
    "cold_slack": 5,
    "evacuate_ms": 5000,
    "recovery_s": 12,
    "ttl_max_s": 5,
}
LIMITS = {
    "cpu_share": 0.537,
    "cores": 2,
    "memory_mb": 300,
    "max_fds": 4100,
    "link_mbps": 1000.0,
    "disk_mb": 0,
}
ZONES = ["seq-a", "seq-b", "seq-c"]
CALLER_LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
HOST_NAME = "pupu76.example"


class Host:
    """One entry daemon on a loopback address of its own."""

    def __init__(self, number: int, folder: Path, store: str, before: list["Host"], zones: list[str]) -> None:
        self.name = f"frontend-{number}"
        self.zone = zones[(number - 1) % len(zones)]
        pid = os.getpid()
        # An address of its own, because all hosts have the same ports; nothing else listens there.
        self.ip = f"127.{pid % 190 + 30}.{pid // 190 % 250}.{number + 1}"
        self.front, self.ready = (self.ip, 8104), (self.ip, 8108)
        self.directory, self.control = (self.ip, 8100), (self.ip, 8106)
        self.path = folder / f"{self.name}.json"
        self.log = folder / f"{self.name}.log"
        self.starts: list[float] = []
        self.process: subprocess.Popen[bytes] | None = None
        seeds = [f"{each.ip}:8106" for each in before][:2] + [f"{self.ip}:8106"]
        self.path.write_text(
            json.dumps(
                {
                    "node": self.name,
                    "role": "entry",
                    "machine_class": "frontend",
                    "serves": ["frontend", "directory", "control_plane"],
                    "ip": self.ip,
                    "zone": self.zone,
                    "region": "seq",
                    "zones": {zone: "seq" for zone in zones},
                    "listen": {
                        name: f"{self.ip}:{port}"
                        for name, port in (("front", 8104), ("ready", 8108), ("control", 8106), ("directory", 8100))
                    },
                    "port_range": [7380, 7395],
                    "seeds": seeds,
                    "bootstrap": True,
                    "loss_counts": False,
                    "limits": LIMITS,
                    "data_dir": None,
                    "discovery": "platform",
                    "entry": "directory",
                    "heartbeat_ms": 1200,
                    "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
                    "bounds": BOUNDS,
                    "platform": {
                        "address": store,
                        "form": "kv",
                        "writes_per_s": 400,
                        "reads_per_s": 2000,
                        "history_s": 20,
                        "value_bytes": 1048576,
                        "min_ttl_ms": 1000,
                    },
                }
            )
        )

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        command = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]["run"].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {
            "HAWTHORNBRIDGE_SETTINGS": str(self.path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=output, stderr=output)
        self.starts.append(time.monotonic())

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def memory(self) -> dict[str, int]:
        """Return the resident memory of the process in kB, by kind."""
        assert self.process is not None
        found = {}
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                name, _, value = line.partition(":")
                if name in ("VmRSS", "VmHWM", "RssAnon"):
                    found[name] = int(value.split()[0])
        return found

    async def is_ready(self, timeout_s: float = 1.0) -> bool:
        """Return whether the host answers its readiness check with 200 in time."""
        caller = Caller(self.ready)
        try:
            sent = await caller.ask("GET", "/ready", timeout_s=timeout_s, host=self.ip, attempt="")
            return sent.status == 200
        finally:
            caller.close()


class Sent:
    """One request as its caller saw it; status is 0 without a complete answer."""

    def __init__(self, attempt: str, at_s: float) -> None:
        self.attempt = attempt
        self.at_s = at_s
        self.ended_s = 0.0
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.error = ""

    @property
    def took_s(self) -> float:
        return self.ended_s - self.at_s


class Caller:
    """A caller's connection that is kept open."""

    def __init__(self, address: tuple[str, int], source: str | None = None) -> None:
        self._address = address
        self._source = source
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def ask(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        host: str = HOST_NAME,
        attempt: str | None = None,
        body: bytes = b"",
        headers: str = "",
    ) -> Sent:
        """Send one request and return what came back within the time."""
        sent = Sent(f"{random.getrandbits(64):016x}" if attempt is None else attempt, time.monotonic())
        try:
            async with asyncio.timeout(timeout_s):
                await self._exchange(sent, method, path, timeout_s, host, body, headers)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            sent.error = repr(error)
            sent.status = 0
            self.close()
        sent.ended_s = time.monotonic()
        return sent

    async def _exchange(
        self, sent: Sent, method: str, path: str, timeout_s: float, host: str, body: bytes, headers: str
    ) -> None:
        if self._writer is None:
            local = None if self._source is None else (self._source, 0)
            self._reader, self._writer = await asyncio.open_connection(*self._address, local_addr=local)
        assert self._reader is not None
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n{headers}"
        if sent.attempt:
            head += f"Hawthornbridge-Attempt-Id: {sent.attempt}\r\n"
            head += f"Hawthornbridge-Deadline-Ms: {int(timeout_s * 1000)}\r\n"
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        self._writer.write(head.encode() + b"\r\n" + body)
        await self._writer.drain()
        lines = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        for line in lines[1:]:
            name, _, value = line.partition(":")
            sent.headers[name.lower()] = value.strip()
        sent.body = await self._reader.readexactly(int(sent.headers.get("content-length", 0)))
        sent.status = int(lines[0].split()[1])
        if "close" in sent.headers.get("connection", ""):
            self.close()


class Rig:
    """Store, hosts and the record of one run."""

    def __init__(self, folder: Path, record: Path, trouble: bool, zones: list[str] | None = None) -> None:
        self.folder = folder
        self.trouble = trouble
        self.zones = ZONES if zones is None else zones
        self.store = PlatformStore()
        self.hosts: list[Host] = []
        self.leaves: list[PlatformLeaf] = []
        self.started_s = time.monotonic()
        self._record = record.open("w")
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def now_s(self) -> float:
        return time.monotonic() - self.started_s

    def note(self, text: str, at_s: float | None = None) -> None:
        """Write one line of the record."""
        now_s = self.now_s if at_s is None else at_s - self.started_s
        self._record.write(f"{now_s:9.3f} {text}\n")
        self._record.flush()

    def note_answer(self, sent: Sent) -> None:
        """Write what a caller sent and got."""
        answer = str(sent.status) if sent.status else f"no answer ({sent.error})"
        self.note(f"caller sent {sent.attempt}: {answer} after {sent.took_s * 1000:.0f} ms", sent.at_s)

    def note_leaves(self) -> None:
        """Write which requests reached each leaf, and which of them it ran."""
        for leaf in self.leaves:
            ran = {each.request_id for each in leaf.runs}
            for each in leaf.arrivals:
                self.note(
                    f"leaf {leaf.id} got {each.request_id}{'' if each.request_id in ran else ', not run'}", each.at_s
                )

    def spawn(self, coroutine) -> asyncio.Task[None]:
        """Run a part of the case until the end."""
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    async def start(self, hosts: int) -> None:
        """Start the store's listener and the hosts, and wait until all are ready."""
        for number in range(1, hosts + 1):
            host = Host(number, self.folder, self.store.address, self.hosts, self.zones)
            self.hosts.append(host)
            host.start()
        await self.wait_ready(20.0)

    async def wait_ready(self, limit_s: float) -> None:
        end_s = time.monotonic() + limit_s
        for host in self.hosts:
            while not await host.is_ready():
                if time.monotonic() > end_s:
                    log = host.log.read_text()[-2000:]
                    raise RuntimeError(f"{host.name} is not ready: {log}")
                await asyncio.sleep(0.1)

    async def end(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in self.hosts:
            host.kill()
        self.note_leaves()
        for leaf in self.leaves:
            await leaf.stop()
        await self.store.stop()

    def close(self) -> None:
        self._record.close()


def main(case, record_folder: str, *, zones: list[str] | None = None) -> None:
    """Run a case, a coroutine function of a rig that returns whether the rule was broken, and exit with its result."""

    async def run() -> int:
        with tempfile.TemporaryDirectory(prefix="review-2-") as folder:
            trouble = os.environ.get("TROUBLE", "1") != "0"
            rig = Rig(Path(folder), Path(record_folder) / "record.txt", trouble, zones)
            rig.note(f"TROUBLE={int(trouble)}")
            try:
                async with asyncio.timeout(118.0):
                    await rig.store.start()
                    broken = await case(rig)
                    code = BROKEN if broken else HELD
            except Exception:
                rig.note("the case could not run: " + traceback.format_exc())
                code = NOT_RUN
            finally:
                await rig.end()
            rig.note({BROKEN: "the rule was broken", HELD: "the rule held"}.get(code, "no result"))
            rig.close()
            return code

    code = asyncio.run(run())
    print({BROKEN: "broken", HELD: "held", NOT_RUN: "could not run"}[code])
    sys.exit(code)
