"""Daemons of the fault soak: their settings, processes and signals."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from standins.faultproxy import FaultProxy
from standins.ports import free_port

__all__ = ["SoakHost", "prepare_host"]

ROOT = Path(__file__).parent.parent
SETTINGS = """
node: "n{number}"
ip: "{ip}"
zone: "z{number}"
zones: {{z1: "r1", z2: "r1", z3: "r1"}}
listen: {{front: "{ip}:{front}", ready: "{ip}:{ready}", directory: "{ip}:{directory}", control: "{ip}:{control}"}}
seeds: [{seeds}]
platform: {{address: "{store}"}}
bounds: {{grace_s: 3, retry_budget_slack: {retry_slack}, exposure_share: 0.1, exposure_slack: 50}}
"""
RETRY_SLACK = 60
# Length of the part of a settings file that a host finds if it reads the file during a write.
HALF_WRITTEN_BYTES = 60


@dataclass
class SoakHost:
    """One daemon, with its settings file, log and process."""

    number: int
    settings: Path
    log: Path
    ip: str
    ports: dict[str, int]
    proxy: FaultProxy
    # The correct settings, to which the file is restored after a fault.
    text: str
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        environment = os.environ | {"HAWTHORNBRIDGE_SETTINGS": str(self.settings)}
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "hawthornbridge.platform.daemon"],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def change_settings(self, retry_slack: int, *, half_written: bool) -> None:
        """Write the settings with another retry budget, or only their first bytes."""
        lines = self.text.splitlines()
        bounds = f"bounds: {{grace_s: 3, retry_budget_slack: {retry_slack}, exposure_share: 0.1, exposure_slack: 50}}"
        text = "\n".join([line for line in lines if not line.startswith("bounds:")] + [bounds])
        self.settings.write_text(text[:HALF_WRITTEN_BYTES] if half_written else text)

    def restore_settings(self) -> None:
        """Write the correct settings."""
        self.settings.write_text(self.text)

    def unexpected_exit(self) -> str | None:
        """Return how the process exited by itself; None if it runs, exited normally or was killed by the soak."""
        code = None if self.process is None else self.process.poll()
        if code is None or code in (0, -signal.SIGKILL, -signal.SIGTERM):
            return None
        last = (self.log.read_text().splitlines() or [""])[-1]
        if code == -signal.SIGHUP:
            return "signalled at its start"
        return "wrong settings" if last.startswith(str(self.settings)) else f"code {code}: {last}"

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def ended(self, limit_s: float) -> bool:
        """Wait for the process to exit; return whether it did so within the limit."""
        end_s = time.monotonic() + limit_s
        while self.process is not None and self.process.poll() is None:
            if time.monotonic() > end_s:
                return False
            await asyncio.sleep(0.02)
        return True


def prepare_host(number: int, folder: Path, proxy: FaultProxy, others: Sequence[SoakHost]) -> SoakHost:
    """Write the settings of a host that reaches the store through the proxy."""
    # Each run has its own loopback addresses, because all hosts use the same metrics port.
    ip = f"127.{os.getpid() % 200 + 10}.{os.getpid() // 200 % 250}.{number}"
    ports = {name: free_port(ip) for name in ("front", "ready", "directory", "control")}
    seeds = ", ".join(f'"{host.ip}:{host.ports["control"]}"' for host in others)
    path = folder / f"n{number}.yaml"
    text = SETTINGS.format(number=number, ip=ip, seeds=seeds, store=proxy.address, retry_slack=RETRY_SLACK, **ports)
    path.write_text(text)
    return SoakHost(number, path, folder / f"n{number}.log", ip, ports, proxy, text)
