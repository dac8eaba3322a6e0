"""Answer queries over many shards completely, honestly and fast."""

from hawthornbridge.outcomes import Execution, Refusal, RefusalKind

__all__ = ["Execution", "Refusal", "RefusalKind"]

__version__ = "0.1.0"
