"""Mark that lets the first run of a caller's request be counted once."""

from dataclasses import dataclass

from hawthornbridge.ids import TeamName

__all__ = ["RunMark"]


@dataclass(slots=True, eq=False)
class RunMark:
    """Team of one request of a caller, shared by all its exchanges, and whether a run has been counted for it."""

    team: TeamName
    is_counted: bool = False
