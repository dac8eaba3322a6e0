"""Measure the memory of an entry daemon that serves nobody, started by the command of deploy/system.toml."""

import os
import subprocess
import sys
import sysconfig
import tempfile
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import anyio
import cappa
import msgspec

from standins.platformleaf import PlatformLeaf
from standins.platformstore import PlatformStore
from standins.ports import free_port

ROOT = Path(__file__).parent.parent
# Not the addresses of the tests, because the metrics port is the same everywhere.
HOST_ADDRESS = "127.0.0.77"
IDLE_S = 5.0
MEASURED = ("VmHWM", "VmRSS", "RssAnon", "RssFile")


@dataclass
class Command:
    """Start one entry daemon several times and print its memory after 5 s without a request."""

    rounds: Annotated[int, cappa.Arg(long=True)] = 3
    leaves: Annotated[int, cappa.Arg(long=True)] = 0


def _configuration(shards: list[str]) -> dict[str, object]:
    route = {
        "name": "all",
        "host": "h.example",
        "prefix": "/all/",
        "kind": "idempotent",
        "timeout_ms": 2_000,
        "target_latency_ms": 300,
        "max_attempts": 2,
        "gather": shards,
        "top_k": 5,
        "min_coverage": 0.5,
    }
    services = [{"name": shard, "max_conns": 20} for shard in shards]
    return {"version": 1, "routes": [route], "services": services}


def _settings(store_address: str) -> dict[str, object]:
    """Return the platform's settings, which deploy/settings.template writes as JSON."""
    listen = {name: f"{HOST_ADDRESS}:{free_port(HOST_ADDRESS)}" for name in ("front", "ready", "directory", "control")}
    return {
        "node": "n1",
        "ip": HOST_ADDRESS,
        "zone": "z1",
        "zones": {"z1": "r1"},
        "listen": listen,
        "platform": {"address": store_address},
    }


def _memory_kb(process_id: int) -> dict[str, int]:
    lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    values = dict(line.split(":", 1) for line in lines)
    return {name: int(values[name].split()[0]) for name in MEASURED}


async def _measure_once(command: Command, settings: Path) -> dict[str, int]:
    store = PlatformStore()
    await store.start()
    leaves = [PlatformLeaf(f"leaf-{number}", f"s{number % 10}") for number in range(command.leaves)]
    for leaf in leaves:
        await leaf.start()
        store.put(f"servers/{leaf.id}", leaf.entry())
    store.put("op/config", _configuration([f"s{number}" for number in range(10)]))
    settings.write_bytes(msgspec.json.encode(_settings(store.address)))
    run = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]["run"]
    environment = os.environ | {
        "HAWTHORNBRIDGE_SETTINGS": str(settings),
        "PYTHONPATH": sysconfig.get_path("purelib"),
        # Without stored bytecode the compiler's memory would be measured too.
        "PYTHONPYCACHEPREFIX": str(settings.parent),
        "PYTHONDONTWRITEBYTECODE": "",
    }
    process = subprocess.Popen(
        [sys.executable, *run.split()[1:]], cwd=ROOT, env=environment, stdout=subprocess.DEVNULL
    )
    try:
        await anyio.sleep(IDLE_S)
        return _memory_kb(process.pid)
    finally:
        process.terminate()
        await anyio.to_thread.run_sync(process.wait)
        for leaf in leaves:
            await leaf.stop()
        await store.stop()


async def _measure(command: Command) -> None:
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "n1.json"
        # The first start stores the bytecode.
        await _measure_once(command, settings)
        for _ in range(command.rounds):
            measured_kb = await _measure_once(command, settings)
            print(", ".join(f"{name} {value / 1_024:.1f} MB" for name, value in measured_kb.items()))


def main() -> None:
    """Run the measurement."""
    anyio.run(_measure, cappa.parse(Command))


if __name__ == "__main__":
    main()
