"""Recovery from a counter that was wiped, replaced or split (docs/counter-recovery.md).

The package does no I/O: `routing.recovery` and the emulator drive it through `RecoveryPort`. Each module has
one responsibility:

- `core`: heartbeats and changes of the epoch.
- `epochs`: the current epoch, and the names of all entries at the counter.
- `epoch_register` and `epoch_membership`: calls to the counter that manage the epoch.
- `counting`: counts that the policy adds to.
- `ledger`: the units that this limiter added.
- `replay`: sends the ledger's units to a counter instance that lacks them.
- `quota_grant`: the share of each quota that this limiter may grant.
- `log_records` and `log_reader`: the format of the ledger's append-only log on disk.
"""

from .core import Recovery
from .epochs import Epochs, RegisterState
from .ledger import Ledger, LedgerEntry
from .log_reader import LogContents, UnusableLogError, read_log
from .log_records import LogRecord, encode_record, encode_snapshot
from .ports import CounterKey, RecoveryPort
from .settings import RecoverySettings

__all__ = [
    "CounterKey",
    "Epochs",
    "Ledger",
    "LedgerEntry",
    "LogContents",
    "LogRecord",
    "Recovery",
    "RecoveryPort",
    "RecoverySettings",
    "RegisterState",
    "UnusableLogError",
    "encode_record",
    "encode_snapshot",
    "read_log",
]
