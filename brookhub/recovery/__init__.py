"""Counter lost, split or replaced.

What crosses the wire tells one keeper from another, and what was counted is counted again.

Decides without I/O: `epochs` (which keeper this is, who else sees it), `ledger` (units of this limiter, by
name and epoch), `core` (both behind Port.count), `disk` (the ledger as checksummed records).
docs/counter-recovery.md.
"""

from .core import Recovery, RecoveryPort, Settings
from .disk import Record, UnusableError, append, scan, snapshot
from .epochs import Epochs
from .ledger import Ledger

__all__ = [
    "Epochs",
    "Ledger",
    "Record",
    "Recovery",
    "RecoveryPort",
    "Settings",
    "UnusableError",
    "append",
    "scan",
    "snapshot",
]
