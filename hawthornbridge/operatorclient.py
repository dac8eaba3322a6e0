"""Calls to the operators' listener of several hosts in turn, safe to repeat after a lost answer."""

import time
from collections.abc import Callable, Iterator, Sequence
from typing import Any, TypeAlias

from connectrpc.code import Code
from connectrpc.errors import ConnectError

from hawthornbridge import operations_pb as pb
from hawthornbridge.acceptance import ChangeAccepted, ChangeNotAccepted, ChangeUncertain, QuorumMissing
from hawthornbridge.ids import Generation
from hawthornbridge.model import Catalogue
from hawthornbridge.operations_connect import OperationsClientSync
from hawthornbridge.operationscodec import FieldError, OperatorRefusal, catalogue_from_wire, refusal_from_wire

__all__ = ["CallFailedError", "HostsUnreachableError", "OperatorClient", "Outcome", "UnauthenticatedError"]

CALL_TIMEOUT_MS = 10_000
# Longer than any answer of a watch takes to follow the one before.
WATCH_CALL_MS = 3_600_000
ROUNDS = 3
ROUND_DELAY_S = 1.0
# What a client library reports when it got no answer, and a host when it has no room.
TRANSIENT_CODES = frozenset(
    {Code.UNAVAILABLE, Code.DEADLINE_EXCEEDED, Code.CANCELED, Code.UNKNOWN, Code.INTERNAL, Code.RESOURCE_EXHAUSTED}
)

Outcome: TypeAlias = ChangeAccepted | OperatorRefusal


class HostsUnreachableError(Exception):
    """Report that no host answered, and what each one's failure was."""


class UnauthenticatedError(Exception):
    """Report that a host does not accept the token."""


class CallFailedError(Exception):
    """Report an error of a host that no retry settles."""


class OperatorClient:
    """Call the first host that can answer, and repeat a change with the same operation id until it is settled."""

    def __init__(
        self,
        addresses: Sequence[str],
        token: str,
        *,
        timeout_ms: int = CALL_TIMEOUT_MS,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._addresses = tuple(addresses)
        self._headers = {"authorization": f"Bearer {token}"}
        self._timeout_ms = timeout_ms
        self._sleep = sleep

    def change(self, method: str, request: Any) -> Outcome:
        """Make a change; the request carries the operation id that makes repeating it safe."""
        refused: ChangeNotAccepted | QuorumMissing | None = None
        lost: str | None = None
        unreached: list[str] = []
        for turn in range(ROUNDS):
            if turn:
                self._sleep(ROUND_DELAY_S)
            for address in self._addresses:
                try:
                    answer = self._call(address, method, request)
                except ConnectError as error:
                    match _refusal(address, error):
                        case ChangeUncertain(detail):
                            lost = f"{address}: {detail}"
                        case ChangeNotAccepted() | QuorumMissing() as refusal:
                            refused = refusal
                        case None:
                            unreached.append(f"{address}: {error.message}")
                            # Only a connection that was never made proves that the host did not get the request.
                            if not isinstance(error.__cause__, ConnectionError):
                                lost = f"{address}: {error.message}"
                        case refusal:
                            return refusal
                else:
                    return ChangeAccepted(Generation(answer.generation), answer.repeated, answer.forced)
            if refused is not None and lost is None:
                # Every host was asked, and one has certainly not accepted the change.
                return refused
        if lost is not None:
            return ChangeUncertain(lost)
        raise HostsUnreachableError("; ".join(unreached[-len(self._addresses) :]))

    def configuration(self) -> Catalogue:
        """Return the configuration that the first host to answer holds."""
        return catalogue_from_wire(self._read("list_configuration", pb.ListConfigurationRequest()))

    def hosts(self) -> list[pb.Host]:
        """Return the hosts that the first host to answer knows of."""
        listed: pb.ListHostsResponse = self._read("list_hosts", pb.ListHostsRequest())
        return listed.hosts

    def watch(self, request: pb.WatchRequest) -> Iterator[pb.WatchProgress]:
        """Yield the progress of an accepted change; another host carries on where one stops."""
        failures: list[str] = []
        while True:
            for address in self._addresses:
                try:
                    with OperationsClientSync(f"http://{address}") as client:
                        for progress in client.watch(request, headers=self._headers, timeout_ms=WATCH_CALL_MS):
                            failures.clear()
                            yield progress
                            if progress.state is not pb.MoveState.IN_PROGRESS:
                                return
                except ConnectError as error:
                    refusal = _refusal(address, error)
                    if refusal is not None:
                        raise CallFailedError(f"{address}: {error.message}") from error
                    failures.append(f"{address}: {error.message}")
            if len(failures) >= ROUNDS * len(self._addresses):
                raise HostsUnreachableError("; ".join(failures[-len(self._addresses) :]))
            self._sleep(ROUND_DELAY_S)

    def _read(self, method: str, request: Any) -> Any:
        failures = []
        for address in self._addresses:
            try:
                return self._call(address, method, request)
            except ConnectError as error:
                _refusal(address, error)
                failures.append(f"{address}: {error.message}")
        raise HostsUnreachableError("; ".join(failures))

    def _call(self, address: str, method: str, request: Any) -> Any:
        with OperationsClientSync(f"http://{address}") as client:
            return getattr(client, method)(request, headers=self._headers, timeout_ms=self._timeout_ms)


def _refusal(address: str, error: ConnectError) -> OperatorRefusal | None:
    if error.code is Code.UNAUTHENTICATED:
        raise UnauthenticatedError(f"{address}: {error.message}") from error
    for detail in error.details:
        refusal = detail.value(pb.Refusal)
        if refusal is None:
            continue
        try:
            return refusal_from_wire(refusal)
        except FieldError as unknown:
            raise CallFailedError(f"{address}: {error.message}") from unknown
    if error.code not in TRANSIENT_CODES:
        raise CallFailedError(f"{address}: {error.code.value}: {error.message}") from error
    return None
