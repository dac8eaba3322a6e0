"""Exchange of cold upstreams' allowances between hosts."""

import random

import anyio

from hawthornbridge.allowance import AllowanceNotice, Ramp
from hawthornbridge.ids import UpstreamId
from hawthornbridge.membership import Membership
from hawthornbridge.messages import AllowanceNotices, AllowanceRequest
from hawthornbridge.peers import Peers
from hawthornbridge.upstreams import UpstreamTable

__all__ = ["AllowanceExchange"]

# Changes are gathered for this time, so that a failure domain that returns makes few messages.
GATHER_S = 0.1
# Cold upstreams' allowances are repeated this often for hosts that missed a notice.
REPEAT_S = 2.0
# A host that has just started asks another peer after this time without an answer.
ASK_S = 0.5
# A message with this many notices stays well below the limit of 64 KB.
NOTICES_PER_MESSAGE = 400


class AllowanceExchange:
    """Publish changes of allowances, and let a host that starts learn from one peer which upstreams are warm."""

    def __init__(self, ramp: Ramp, table: UpstreamTable, membership: Membership, peers: Peers) -> None:
        self._ramp = ramp
        self._table = table
        self._membership = membership
        self._peers = peers
        self._changed: dict[UpstreamId, AllowanceNotice] = {}
        self._answered = False
        ramp.on_allowance = self._note
        peers.subscribe(AllowanceNotices, self._receive)
        peers.subscribe(AllowanceRequest, self._answer)

    async def run(self) -> None:
        """Publish and ask until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._ask)
            repeat_s = anyio.current_time()
            while True:
                await anyio.sleep(GATHER_S)
                if anyio.current_time() >= repeat_s:
                    repeat_s = anyio.current_time() + REPEAT_S
                    cold = (notice for notice in self._ramp.notices() if self._ramp.is_cold(notice.upstream))
                    self._changed |= {notice.upstream: notice for notice in cold}
                changed, self._changed = list(self._changed.values()), {}
                if changed:
                    for message in _messages(changed, is_answer=False):
                        self._peers.publish(message)

    async def _ask(self) -> None:
        while not self._answered:
            live = [member.heartbeat.address for member in self._membership.live]
            if live:
                self._peers.send(random.choice(live), AllowanceRequest(self._membership.identity.address))
            await anyio.sleep(ASK_S)

    def _answer(self, request: AllowanceRequest) -> None:
        # The first copy tells an incarnation that is news to the receiver, the second one its allowance.
        for _ in range(2):
            for message in _messages(self._ramp.notices(), is_answer=True):
                self._peers.send(request.address, message)

    def _receive(self, message: AllowanceNotices) -> None:
        for notice in message.notices:
            self._table.receive_allowance(notice)
        # Before the first configuration no upstream is tracked, and an answer is lost.
        self._answered = self._answered or (message.is_answer and self._table.tracks_upstreams)

    def _note(self, notice: AllowanceNotice) -> None:
        self._changed[notice.upstream] = notice


def _messages(notices: list[AllowanceNotice], *, is_answer: bool) -> list[AllowanceNotices]:
    starts = range(0, max(1, len(notices)), NOTICES_PER_MESSAGE)
    return [AllowanceNotices(tuple(notices[start : start + NOTICES_PER_MESSAGE]), is_answer) for start in starts]
