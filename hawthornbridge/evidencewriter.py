"""This host's evidence on rollouts, written to the store for the other hosts to read."""

from collections.abc import Callable

import anyio
import msgspec

from hawthornbridge.evidence import RolloutEvidence
from hawthornbridge.ids import HostId
from hawthornbridge.presence import LeaseStore
from hawthornbridge.store import Applied, Key, LeaseId

__all__ = ["EVIDENCE_PREFIX", "EvidenceWriter"]

EVIDENCE_PREFIX = "evidence/"
MIN_INTERVAL_S = 0.25
# The rate of all hosts together, a fraction of the store's limit.
WRITES_PER_S = 40.0
# Unchanged evidence is written again after this time, because a lost lease has deleted the earlier copy.
REWRITE_INTERVAL_S = 2.5

_encode = msgspec.json.Encoder().encode


class EvidenceWriter:
    """Writes the newest evidence on each open rollout under the host's lease; all hosts share one write rate."""

    def __init__(
        self,
        store: LeaseStore,
        host: HostId,
        lease: Callable[[], LeaseId | None],
        hosts: Callable[[], int],
        clock: Callable[[], float],
        age_ms: Callable[[str], int] = lambda rollout: 0,
    ) -> None:
        self._store = store
        self._host = host
        self._lease = lease
        self._hosts = hosts
        self._clock = clock
        self._age_ms = age_ms
        self._newest: dict[str, RolloutEvidence] = {}
        self._written: dict[str, tuple[RolloutEvidence, float]] = {}

    def publish(self, evidence: RolloutEvidence) -> None:
        """Replace the evidence on a rollout."""
        self._newest[evidence.rollout] = evidence

    def write_again(self) -> None:
        """Write all evidence again, because the store has returned without it."""
        self._written.clear()

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self.write()
            await anyio.sleep(max(MIN_INTERVAL_S, self._hosts() / WRITES_PER_S))

    async def write(self) -> None:
        """Write the evidence that has changed since the last write."""
        newest, self._newest = self._newest, {}
        for rollout, evidence in newest.items():
            lease = self._lease()
            if lease is None or not evidence.rows or not self._is_due(rollout, evidence):
                continue
            key = Key(f"{EVIDENCE_PREFIX}{rollout}/{self._host}")
            value = _encode(msgspec.structs.replace(evidence, age_ms=self._age_ms(rollout)))
            outcome = await self._store.put(key, value, lease)
            if isinstance(outcome, Applied):
                self._written[rollout] = (evidence, self._clock())
        self._written = {rollout: row for rollout, row in self._written.items() if rollout in newest}

    def _is_due(self, rollout: str, evidence: RolloutEvidence) -> bool:
        written = self._written.get(rollout)
        return written is None or written[0] != evidence or self._clock() - written[1] >= REWRITE_INTERVAL_S
