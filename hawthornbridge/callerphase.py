"""Phases of a caller's connection."""

from enum import Enum

__all__ = ["CallerPhase"]


class CallerPhase(Enum):
    """What a connection receives."""

    OPENING = "nothing yet"
    BETWEEN = "no request"
    HEAD = "head"
    BODY = "body"
