"""Plug-in kinds and the registry that plug-ins add themselves to."""

from collections.abc import Callable
from enum import Enum
from typing import Any, TypeVar

__all__ = ["PluginKind", "UnknownPluginError", "lookup", "names", "register"]

Plugin = TypeVar("Plugin", bound=Callable[..., Any])


class PluginKind(Enum):
    """Name what a plug-in can stand in for."""

    CALLER_INTERFACE = "caller_interface"
    OPERATOR_INTERFACE = "operator_interface"
    UPSTREAM_PROTOCOL = "upstream_protocol"
    PLATFORM_STORE = "platform_store"
    MEMBERSHIP_SOURCE = "membership_source"
    REPLICA_CHOICE = "replica_choice"
    HEDGING = "hedging"
    ADMISSION = "admission"
    RAMP = "ramp"


class UnknownPluginError(LookupError):
    """Report a plug-in name that nothing registered."""

    def __init__(self, kind: PluginKind, name: str) -> None:
        super().__init__(f"no {kind.value} plug-in named {name!r}; registered: {', '.join(names(kind)) or 'none'}")
        self.kind = kind
        self.name = name


_plugins: dict[PluginKind, dict[str, Callable[..., Any]]] = {kind: {} for kind in PluginKind}


def register(kind: PluginKind, name: str) -> Callable[[Plugin], Plugin]:
    """Register the decorated class or function as a plug-in."""

    def add(plugin: Plugin) -> Plugin:
        if name in _plugins[kind]:
            raise ValueError(f"{kind.value} plug-in {name!r} is registered twice")
        _plugins[kind][name] = plugin
        return plugin

    return add


def lookup(kind: PluginKind, name: str) -> Callable[..., Any]:
    """Return the plug-in of this kind and name; raise UnknownPluginError if there is none."""
    try:
        return _plugins[kind][name]
    except KeyError:
        raise UnknownPluginError(kind, name) from None


def names(kind: PluginKind) -> list[str]:
    """List the registered names of a kind."""
    return sorted(_plugins[kind])
