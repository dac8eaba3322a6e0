"""Exchange of upstream allowances between hosts."""

import random

import anyio

from hawthornbridge.allowance import AllowanceNotice, Ramp
from hawthornbridge.ids import UpstreamId
from hawthornbridge.membership import Membership
from hawthornbridge.messages import AllowanceNotices, AllowanceRequest
from hawthornbridge.peers import Peers
from hawthornbridge.upstreams import UpstreamTable

__all__ = ["AllowanceExchange"]

# Batches changes, so that the return of a whole failure domain causes few messages.
PUBLISH_INTERVAL_S = 0.1
# Allowances of cold upstreams are repeated at this interval for hosts that missed a notice.
REPEAT_INTERVAL_S = 2.0
# A host that has just started asks another peer at this interval until one has answered.
REQUEST_INTERVAL_S = 0.5
# Keeps a message well below the size limit of 64 KB.
NOTICES_PER_MESSAGE = 400


class AllowanceExchange:
    """Publish changes of allowances; a host that starts requests all allowances from a peer."""

    def __init__(self, ramp: Ramp, table: UpstreamTable, membership: Membership, peers: Peers) -> None:
        self._ramp = ramp
        self._table = table
        self._membership = membership
        self._peers = peers
        self._changed: dict[UpstreamId, AllowanceNotice] = {}
        self._answered = False
        ramp.on_allowance = self._queue_notice
        peers.subscribe(AllowanceNotices, self._receive)
        peers.subscribe(AllowanceRequest, self._answer)

    async def run(self) -> None:
        """Publish changes and request allowances until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._request_allowances)
            repeat_s = anyio.current_time()
            while True:
                await anyio.sleep(PUBLISH_INTERVAL_S)
                if anyio.current_time() >= repeat_s:
                    repeat_s = anyio.current_time() + REPEAT_INTERVAL_S
                    cold = (notice for notice in self._ramp.notices() if self._ramp.is_cold(notice.upstream))
                    self._changed |= {notice.upstream: notice for notice in cold}
                changed, self._changed = list(self._changed.values()), {}
                if changed:
                    for message in _messages(changed, is_answer=False):
                        self._peers.publish(message)

    async def _request_allowances(self) -> None:
        while not self._answered:
            live = [member.heartbeat.address for member in self._membership.live]
            if live:
                self._peers.send(random.choice(live), AllowanceRequest(self._membership.identity.address))
            await anyio.sleep(REQUEST_INTERVAL_S)

    def _answer(self, request: AllowanceRequest) -> None:
        # Sent twice: the receiver takes a new incarnation from the first copy and its allowance from the second.
        for _ in range(2):
            for message in _messages(self._ramp.notices(), is_answer=True):
                self._peers.send(request.address, message)

    def _receive(self, message: AllowanceNotices) -> None:
        for notice in message.notices:
            self._table.receive_allowance(notice)
        # An answer that arrives before the first configuration has no effect, because no upstream is tracked yet.
        self._answered = self._answered or (message.is_answer and self._table.tracks_upstreams)

    def _queue_notice(self, notice: AllowanceNotice) -> None:
        self._changed[notice.upstream] = notice


def _messages(notices: list[AllowanceNotice], *, is_answer: bool) -> list[AllowanceNotices]:
    starts = range(0, max(1, len(notices)), NOTICES_PER_MESSAGE)
    return [AllowanceNotices(tuple(notices[start : start + NOTICES_PER_MESSAGE]), is_answer) for start in starts]
