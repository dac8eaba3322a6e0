"""Measure what ordinary callers get from entry daemons while a crowd of hostile clients sends to them."""

import asyncio
import contextlib
import os
import re
import subprocess
import sys
import sysconfig
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from hawthornbridge.platform.apps import METRICS_PORT
from measure.hostilecrowd import MODES
from standins.platformleaf import PlatformLeaf
from standins.platformstore import PlatformStore
from standins.ports import free_port

ROOT = Path(__file__).parent.parent
# Not the addresses of the tests, because the metrics port is the same everywhere.
HOST_ADDRESSES = ("127.0.0.78", "127.0.0.79")
START_LIMIT_S = 20.0
BEFORE_S = 2.0
AFTER_S = 3.0
PROCESSES_PER_HOST = 2
CALLERS = 6
# Ordinary callers come from another address than the crowd.
CALLER_ADDRESS = ("127.0.0.9", 0)
CALL_PAUSE_S = 0.1
CALL_LIMIT_S = 2.0
# Limits of the machine and of the configuration, as on the users' sheets.
LIMITS = {"memory_mb": 300, "max_fds": 4_100}
CALLER_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 262_144,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
REQUEST = (
    b"GET /one/x HTTP/1.1\r\nhost: h.example\r\n"
    b"hawthornbridge-attempt-id: %d\r\nhawthornbridge-deadline-ms: 2000\r\n\r\n"
)


@dataclass
class Command:
    """Print, for each mode, the answers to ordinary callers and what the daemons took."""

    modes: Annotated[list[str], cappa.Arg(help="Modes of the crowd, or `mixed`, or `all`.")]
    connections: Annotated[int, cappa.Arg(long=True, help="Connections to all hosts together.")] = 1_500
    length_s: Annotated[float, cappa.Arg(long=True, help="How long the crowd sends.")] = 15.0
    listener: Annotated[str, cappa.Arg(long=True, help="Listener that the crowd sends to.")] = "front"


@dataclass
class Calls:
    """Results of the ordinary callers in one phase."""

    answered: int = 0
    failed: int = 0
    latencies_s: list[float] = field(default_factory=list)

    def text(self) -> str:
        """Return the counts and the latencies at the median and the most."""
        ordered = sorted(self.latencies_s) or [0.0]
        middle, most = ordered[len(ordered) // 2] * 1_000, ordered[-1] * 1_000
        return f"{self.answered} answered, {self.failed} not ({middle:.0f} ms, at most {most:.0f})"


@dataclass
class _Host:
    ip: str
    ports: dict[str, int]
    process: subprocess.Popen[bytes]

    def private_mb(self) -> float:
        """Return the private memory of the process."""
        return _status_kb(self.process, "RssAnon") / 1_024

    def processor_s(self) -> float:
        """Return the processor time that the process has used."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _status_kb(process: subprocess.Popen[bytes], name: str) -> int:
    found = re.search(rf"{name}:\s*(\d+) kB", Path(f"/proc/{process.pid}/status").read_text())
    return int(found[1]) if found else 0


def _configuration() -> dict[str, object]:
    route = {
        "name": "one",
        "host": "h.example",
        "prefix": "/one/",
        "kind": "idempotent",
        "timeout_ms": 2_000,
        "target_latency_ms": 600,
        "max_attempts": 2,
        "service": "s",
    }
    return {"version": 1, "routes": [route], "services": [{"name": "s", "max_conns": 110}], "limits": CALLER_LIMITS}


def _start(folder: Path, store_address: str) -> list[_Host]:
    command = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]["run"].split()[1:]
    hosts = []
    for number, ip in enumerate(HOST_ADDRESSES):
        ports = {name: free_port(ip) for name in ("front", "ready", "directory", "control")}
        settings = {
            "node": f"n{number}",
            "ip": ip,
            "zone": "z1",
            "zones": {"z1": "r1"},
            "listen": {name: f"{ip}:{port}" for name, port in ports.items()},
            "limits": LIMITS,
            "platform": {"address": store_address},
        }
        path = folder / f"n{number}.json"
        path.write_bytes(msgspec.json.encode(settings))
        environment = os.environ | {
            "HAWTHORNBRIDGE_SETTINGS": str(path),
            "PYTHONPATH": sysconfig.get_path("purelib"),
        }
        with (folder / f"n{number}.log").open("wb") as log:
            process = subprocess.Popen([sys.executable, *command], cwd=ROOT, env=environment, stdout=log, stderr=log)
        hosts.append(_Host(ip, ports | {"metrics": METRICS_PORT}, process))
    return hosts


async def _ask(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> bool:
    writer.write(REQUEST % number)
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head.lower())
    await reader.readexactly(int(length[1]) if length else 0)
    return head.startswith(b"HTTP/1.1 200")


async def _call(host: _Host, number: int, phase: Callable[[], Calls]) -> None:
    """Ask again and again; odd callers keep their connection, even ones open a new one for each request."""
    writer = None
    while True:
        calls, started_s, is_answered = phase(), time.monotonic(), False
        try:
            async with asyncio.timeout(CALL_LIMIT_S):
                if writer is None:
                    reader, writer = await asyncio.open_connection(
                        host.ip, host.ports["front"], local_addr=CALLER_ADDRESS
                    )
                is_answered = await _ask(reader, writer, number)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            is_answered = False
        calls.latencies_s.append(time.monotonic() - started_s)
        calls.answered += is_answered
        calls.failed += not is_answered
        if writer is not None and (number % 2 == 0 or not is_answered):
            writer.transport.abort()
            writer = None
        await asyncio.sleep(CALL_PAUSE_S)


async def _watch_memory(hosts: list[_Host], most_mb: list[float]) -> None:
    while True:
        for number, host in enumerate(hosts):
            if host.process.poll() is None:
                most_mb[number] = max(most_mb[number], host.private_mb())
        await asyncio.sleep(0.1)


async def _measure(name: str, command: Command, folder: Path) -> None:
    store = PlatformStore()
    await store.start()
    leaves = [PlatformLeaf(f"leaf-{number}", "s", slots=3) for number in range(4)]
    for leaf in leaves:
        await leaf.start()
        store.put(f"servers/{leaf.id}", leaf.entry())
    store.put("op/config", _configuration())
    hosts = _start(folder, store.address)
    modes = list(MODES) if name == "mixed" else [name]
    crowd: list[subprocess.Popen[bytes]] = []
    phases = [Calls()]
    most_mb = [0.0] * len(hosts)
    tasks: list[asyncio.Task[None]] = []
    try:
        await _wait_served(hosts)
        tasks.append(asyncio.create_task(_watch_memory(hosts, most_mb)))
        for number in range(CALLERS):
            host = hosts[number // 2 % len(hosts)]
            tasks.append(asyncio.create_task(_call(host, number, lambda: phases[-1])))
        await asyncio.sleep(BEFORE_S)
        used_s = [host.processor_s() for host in hosts]
        phases.append(Calls())
        each = command.connections // len(hosts) // PROCESSES_PER_HOST
        for host in hosts:
            arguments = ["-m", "measure.hostilecrowd", host.ip, str(host.ports[command.listener]), str(each), *modes]
            crowd += [subprocess.Popen([sys.executable, *arguments], cwd=ROOT) for _ in range(PROCESSES_PER_HOST)]
        await asyncio.sleep(command.length_s)
        phases.append(Calls())
        for process in crowd:
            process.kill()
            process.wait()
        used_s = [host.processor_s() - before for host, before in zip(hosts, used_s, strict=True)]
        await asyncio.sleep(AFTER_S)
        ends = [host.process.poll() for host in hosts]
        print(
            f"{name} at {command.listener}, {command.connections} connections, {command.length_s:.0f} s: ends {ends}"
        )
        print(f"  peak MB {[round(each) for each in most_mb]}, processor s {[round(each, 1) for each in used_s]}")
        for title, calls in zip(("before", "during", "after"), phases, strict=True):
            print(f"  {title}: {calls.text()}", flush=True)
    finally:
        for process in [*crowd, *(host.process for host in hosts)]:
            process.kill()
            process.wait()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for leaf in leaves:
            await leaf.stop()
        await store.stop()


async def _wait_served(hosts: list[_Host]) -> None:
    async with asyncio.timeout(START_LIMIT_S):
        for host in hosts:
            while True:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    reader, writer = await asyncio.open_connection(host.ip, host.ports["front"])
                    is_answered = await _ask(reader, writer, 0)
                    writer.close()
                    if is_answered:
                        break
                await asyncio.sleep(0.1)


def main() -> None:
    """Run the measurement."""
    command = cappa.parse(Command)
    names = [*MODES, "mixed"] if command.modes == ["all"] else command.modes
    for name in names:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(_measure(name, command, Path(folder)))


if __name__ == "__main__":
    main()
