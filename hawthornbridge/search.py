"""One query: pin a snapshot, fan out to its shards, merge what arrives."""

import heapq

import anyio

from hawthornbridge.ids import ShardName, VersionName
from hawthornbridge.model import Catalogue
from hawthornbridge.outcomes import Execution, Refusal, RefusalKind
from hawthornbridge.requests import Coverage, SearchAnswer, SearchRequest
from hawthornbridge.snapshots import PinnedSnapshot, best_snapshot
from hawthornbridge.subrequests import Hit, Search, SearchReply
from hawthornbridge.upstreams import UpstreamTable

__all__ = ["Searcher"]

# Time kept back from the deadline to merge the replies and write the answer.
ANSWER_RESERVE_S = 0.005


class Searcher:
    """Answer searches from one snapshot each."""

    def __init__(self, table: UpstreamTable) -> None:
        self._table = table

    async def search(self, catalogue: Catalogue, request: SearchRequest) -> SearchAnswer | Refusal:
        """Fan a query out and return the merged answer with its true coverage."""
        started_s = anyio.current_time()
        service = catalogue.services.get(request.service)
        if service is None:
            return Refusal(RefusalKind.UNKNOWN_SERVICE, Execution.NOT_RUN, "no such service", "service")
        if service.route(request.route) is None:
            return Refusal(RefusalKind.UNKNOWN_ROUTE, Execution.NOT_RUN, "no such route", "route")
        pinned = best_snapshot(catalogue, self._table, request.service, service.version)
        if pinned is None:
            return Refusal(RefusalKind.NO_UPSTREAM, Execution.NOT_RUN, "no usable upstream")
        replies = await self._fan_out(request, pinned, service.version)
        missing = tuple(shard for shard in pinned.shard_map.shards if shard not in replies)
        return SearchAnswer(
            request_id=request.request_id,
            snapshot=pinned.number,
            coverage=Coverage(len(replies), len(pinned.shard_map.shards), missing),
            hits=_merge(replies, request.limit),
            time_s=anyio.current_time() - started_s,
            hedged=False,
        )

    async def _fan_out(
        self, request: SearchRequest, pinned: PinnedSnapshot, version: VersionName
    ) -> dict[ShardName, SearchReply]:
        replies: dict[ShardName, SearchReply] = {}
        deadline_s = request.deadline_s - ANSWER_RESERVE_S

        async def ask(shard: ShardName) -> None:
            state = self._table.choose(request.service, shard, version, pinned.number)
            if state is None:
                return
            sub_request = Search(
                request_id=request.request_id,
                route=request.route,
                shard=shard,
                snapshot=pinned.number,
                query=request.query,
                limit=request.limit,
                deadline_s=deadline_s,
            )
            outcome = await self._table.search(state, sub_request)
            if isinstance(outcome, SearchReply) and _belongs(outcome, sub_request):
                replies[shard] = outcome

        with anyio.move_on_after(max(0.0, deadline_s - anyio.current_time())):
            async with anyio.create_task_group() as tasks:
                for shard in pinned.shard_map.shards:
                    tasks.start_soon(ask, shard)
        return replies


def _belongs(reply: SearchReply, request: Search) -> bool:
    return (reply.request_id, reply.shard, reply.snapshot) == (request.request_id, request.shard, request.snapshot)


def _merge(replies: dict[ShardName, SearchReply], limit: int) -> tuple[Hit, ...]:
    hits = (hit for reply in replies.values() for hit in reply.hits)
    return tuple(heapq.nsmallest(limit, hits, key=lambda hit: (-hit.score, hit.id)))
