"""The operators' command-line tool."""

import os
import sys
from collections.abc import Callable, Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any, Literal, TypeVar

import cappa
import msgspec
import uuid_utils
import xxhash
from protobuf import Oneof
from rich.console import Console

from hawthornbridge import operations_pb as pb
from hawthornbridge.acceptance import (
    ChangeAccepted,
    ChangeConflict,
    ChangeInvalid,
    ChangeNotAccepted,
    ChangeUncertain,
    QuorumMissing,
)
from hawthornbridge.changeparsing import parse_change
from hawthornbridge.commands import (
    ADDRESSES_VARIABLE,
    TOKEN_FILE_VARIABLE,
    TOKEN_VARIABLE,
    Apply,
    ChangeOptions,
    Continue,
    Ctl,
    Drain,
    Explain,
    Export,
    Hold,
    List,
    ListKind,
    Put,
    Remove,
    Restore,
    RollBack,
    Rollout,
    Start,
    Summary,
    Watch,
)
from hawthornbridge.deployments import Deployment, DeploymentError, load, plan
from hawthornbridge.domains import CapacityShort
from hawthornbridge.ids import DomainName, Generation, OperationId, ServiceName
from hawthornbridge.logcommands import run_log_command
from hawthornbridge.model import (
    Catalogue,
    Change,
    FailureDomain,
    PutFailureDomain,
)
from hawthornbridge.operationscodec import change_to_wire
from hawthornbridge.operatorclient import (
    CallFailedError,
    HostsUnreachableError,
    OperatorClient,
    Outcome,
    UnauthenticatedError,
)
from hawthornbridge.printer import TABLE_WIDTH, ExitCode, Printer, UsageError, fail

__all__ = ["ExitCode", "main", "run"]

EntityT = TypeVar("EntityT", bound=msgspec.Struct)


class Session:
    """Run one command against the hosts."""

    def __init__(self, client: OperatorClient, printer: Printer) -> None:
        self._client = client
        self._printer = printer

    def run(self, command: object) -> ExitCode:
        """Run a parsed command and return how it ended."""
        match command:
            case List(kind=kind):
                return self._list(kind)
            case Put() | Remove():
                change = parse_change(command)
                request = pb.ChangeRequest(change=change_to_wire(change))
                return self._change(command, "change", request, lambda seen: seen.generation_of(change))
            case Drain() | Restore():
                return self._move(command)
            case Rollout(command=Start() as start):
                return self._start(start)
            case Rollout(command=Hold() | Continue() | RollBack() as control):
                return self._control(control)
            case Watch():
                return self._watch(_watch_request(command))
            case Apply():
                return self._apply(command)
            case Export():
                tree = Deployment.of(self._client.configuration()).tree()
                print(msgspec.json.format(msgspec.json.encode(tree), indent=2).decode())
        return ExitCode.OK

    def _list(self, kind: ListKind) -> ExitCode:
        if kind is ListKind.HOSTS:
            self._printer.rows([_listed_host(host) for host in self._client.hosts()])
            return ExitCode.OK
        catalogue = self._client.configuration()
        entities: Iterable[msgspec.Struct] = {
            ListKind.SERVICES: catalogue.services,
            ListKind.SHARD_MAPS: catalogue.shard_maps,
            ListKind.UPSTREAMS: catalogue.upstreams,
            ListKind.FAILURE_DOMAINS: catalogue.domains,
            ListKind.VERSIONS: catalogue.versions,
            ListKind.ROLLOUTS: catalogue.rollouts,
        }[kind].values()  # type: ignore[attr-defined]
        self._printer.rows([msgspec.to_builtins(entity) for entity in entities])
        return ExitCode.OK

    def _move(self, command: Drain | Restore) -> ExitCode:
        name = DomainName(command.name)
        change = PutFailureDomain(FailureDomain(name=name))
        request = pb.MoveFailureDomainRequest(failure_domain=name, reason=command.reason)
        method = "drain_failure_domain" if isinstance(command, Drain) else "restore_failure_domain"
        watch = pb.WatchRequest(move=_domain_move(command.name))
        return self._change(command, method, request, lambda seen: seen.generation_of(change), watch)

    def _start(self, command: Start) -> ExitCode:
        try:
            steps = [float(step) for step in command.steps.split(",")]
        except ValueError:
            raise UsageError(f"--steps: expected shares separated by commas, got {command.steps!r}") from None
        request = pb.StartRolloutRequest(
            service=command.service, new=command.version, steps=steps, finish_by_ms=command.finish_by_ms
        )
        return self._change_rollout(command, "start_rollout", request, command.service)

    def _control(self, command: Hold | Continue | RollBack) -> ExitCode:
        request = pb.ControlRolloutRequest(service=command.service, reason=command.reason)
        methods = {Hold: "hold_rollout", Continue: "continue_rollout", RollBack: "roll_back_rollout"}
        return self._change_rollout(command, methods[type(command)], request, command.service)

    def _change_rollout(self, options: ChangeOptions, method: str, request: Any, service: str) -> ExitCode:
        def generation(seen: Catalogue) -> Generation:
            rollout = seen.rollouts.get(ServiceName(service))
            return rollout.generation if rollout else Generation(0)

        return self._change(options, method, request, generation, pb.WatchRequest(move=_rollout_move(service)))

    def _change(
        self,
        options: ChangeOptions,
        method: str,
        request: Any,
        generation: Callable[[Catalogue], Generation],
        watch: pb.WatchRequest | None = None,
    ) -> ExitCode:
        request.operation_id = options.operation_id or _new_operation_id()
        request.force = options.force
        if options.expected is not None:
            request.expected_generation = options.expected
        else:
            request.expected_generation = generation(self._client.configuration())
        outcome = self._client.change(method, request)
        code = self._report(outcome, request.operation_id, request.expected_generation)
        if code is not ExitCode.OK or not options.watch or not isinstance(outcome, ChangeAccepted):
            return code
        follow = watch or pb.WatchRequest()
        follow.generation = outcome.generation
        return self._watch(follow)

    def _watch(self, request: pb.WatchRequest) -> ExitCode:
        state = pb.MoveState.UNSPECIFIED
        for progress in _changed(self._client.watch(request)):
            self._printer.progress(progress)
            state = progress.state
        match state:
            case pb.MoveState.DONE:
                return ExitCode.OK
            case pb.MoveState.ROLLED_BACK:
                return ExitCode.ROLLED_BACK
            case pb.MoveState.SUPERSEDED:
                return ExitCode.SUPERSEDED
        return ExitCode.FAILED

    def _apply(self, command: Apply) -> ExitCode:
        planned = plan(self._client.configuration(), load(command.file), prune=command.prune)
        prefix = command.operation_id or _new_operation_id()
        for item in planned:
            if command.dry_run:
                self._printer.result(_describe(item.change), {"planned": msgspec.to_builtins(item.change)})
                continue
            request = pb.ChangeRequest(
                # Derived from the change, so that a repeated apply repeats the same operations.
                operation_id=f"{prefix}:{xxhash.xxh3_64_hexdigest(msgspec.json.encode(item.change))}",
                expected_generation=item.expected,
                change=change_to_wire(item.change),
            )
            outcome = self._client.change("change", request)
            code = self._report(outcome, request.operation_id, item.expected, _describe(item.change))
            if code is not ExitCode.OK:
                return code
        if not planned:
            self._printer.result("nothing to change", {"outcome": "unchanged"})
        return ExitCode.OK

    def _report(self, outcome: Outcome, operation_id: str, expected: int, subject: str = "the change") -> ExitCode:
        code, name, text = _describe_outcome(outcome)
        if code is ExitCode.UNCERTAIN:
            text += f"; repeat it with --operation-id {operation_id} --expected {expected}"
        value = {"outcome": name, "operation_id": operation_id, **msgspec.to_builtins(outcome)}
        self._printer.result(f"{subject} {text}", value, failed=code is not ExitCode.OK)
        return code


def run(arguments: Sequence[str] | None = None) -> int:
    """Parse the arguments, run the command and return the exit code."""
    ctl = cappa.parse(Ctl, argv=None if arguments is None else list(arguments), output=_output())
    try:
        if isinstance(ctl.command, Explain | Summary):
            return run_log_command(ctl.command, Printer(as_json=ctl.json))
        client = OperatorClient(_addresses(ctl), _token(ctl))
        return Session(client, Printer(as_json=ctl.json)).run(ctl.command)
    except (UsageError, DeploymentError) as error:
        return fail(ExitCode.USAGE, error)
    except UnauthenticatedError as error:
        return fail(ExitCode.UNAUTHENTICATED, error)
    except HostsUnreachableError as error:
        return fail(ExitCode.UNREACHABLE, f"no host answered: {error}")
    except CallFailedError as error:
        return fail(ExitCode.FAILED, error)


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(run())


def _output() -> cappa.Output:
    # The source of a shell completion must not be wrapped.
    width = None if sys.stdout.isatty() else TABLE_WIDTH
    return cappa.Output(output_console=Console(file=sys.stdout, width=width))


def _addresses(ctl: Ctl) -> list[str]:
    addresses = [address.strip() for address in ctl.addresses.split(",") if address.strip()]
    if not addresses:
        raise UsageError(f"give --addresses or set {ADDRESSES_VARIABLE}")
    return addresses


def _token(ctl: Ctl) -> str:
    if not ctl.token_file:
        token = os.environ.get(TOKEN_VARIABLE, "")
        if not token:
            raise UsageError(f"set {TOKEN_VARIABLE}, or give --token-file or {TOKEN_FILE_VARIABLE}")
        return token
    try:
        return Path(ctl.token_file).read_text(encoding="utf-8").strip()
    except OSError as error:
        raise UsageError(f"--token-file: {error}") from error


def _new_operation_id() -> OperationId:
    return OperationId(str(uuid_utils.uuid7()))


def _watch_request(command: Watch) -> pb.WatchRequest:
    if command.failure_domain is not None and command.rollout is not None:
        raise UsageError("give --failure-domain or --rollout, not both")
    if command.failure_domain is not None:
        return pb.WatchRequest(generation=command.generation, move=_domain_move(command.failure_domain))
    if command.rollout is not None:
        return pb.WatchRequest(generation=command.generation, move=_rollout_move(command.rollout))
    return pb.WatchRequest(generation=command.generation)


def _domain_move(name: str) -> Oneof[Literal["failure_domain"], str]:
    return Oneof("failure_domain", name)


def _rollout_move(service: str) -> Oneof[Literal["rollout"], str]:
    return Oneof("rollout", service)


def _changed(stream: Iterable[pb.WatchProgress]) -> Iterator[pb.WatchProgress]:
    shown = None
    for progress in stream:
        seen = (
            progress.state,
            progress.reason,
            progress.share,
            [(host.host, host.confirmed, host.in_flight) for host in progress.hosts],
        )
        if seen != shown:
            yield progress
        shown = seen


def _describe(change: Change) -> str:
    tree = msgspec.to_builtins(change)
    verb = tree.pop("type").replace("_", " ")
    named = next((value for value in tree.values() if isinstance(value, dict)), tree)
    names = [str(named[key]) for key in ("service", "id", "name") if key in named]
    return f"{verb} {':'.join(names)}"


def _describe_outcome(outcome: Outcome) -> tuple[ExitCode, str, str]:
    match outcome:
        case ChangeAccepted(generation, repeated, forced):
            notes = ", accepted by an earlier call" if repeated else ""
            notes += ", forced" if forced else ""
            return ExitCode.OK, "accepted", f"is generation {generation}{notes}"
        case ChangeInvalid(field, detail):
            return ExitCode.INVALID, "invalid", f"does not fit: {field}: {detail}"
        case ChangeConflict(current, winner):
            text = f"lost to another one: the entity is at generation {current}"
            if winner is not None:
                text += f", set by {_describe(winner.change)} of operation {winner.operation_id}"
            return ExitCode.CONFLICT, "conflict", text
        case CapacityShort(shortages):
            figures = [
                f"{short.service} shard {short.shard}: {short.busy:g} busy, {short.slots} slots and "
                f"{short.replicas} replicas would remain"
                for short in shortages
            ]
            text = "was refused, since the remaining failure domains cannot carry the load (--force drains anyway)"
            return ExitCode.CAPACITY_SHORT, "capacity_short", "\n  ".join([text, *figures])
        case ChangeNotAccepted(detail):
            return ExitCode.NOT_ACCEPTED, "not_accepted", f"was not accepted: {detail}"
        case ChangeUncertain(detail):
            return ExitCode.UNCERTAIN, "uncertain", f"may have been accepted: {detail}"
        case QuorumMissing(heard, needed):
            text = f"was not accepted: the host hears {heard} hosts and needs {needed} (--force overrides this)"
            return ExitCode.QUORUM_MISSING, "quorum_missing", text


def _listed_host(host: pb.Host) -> dict[str, Any]:
    return {
        "id": host.id,
        "generation": host.generation,
        "silent_s": round(host.silent_s, 3),
        "leaving": host.leaving,
        "load": round(host.load, 3) if host.has_field("load") else None,
    }


if __name__ == "__main__":
    main()
