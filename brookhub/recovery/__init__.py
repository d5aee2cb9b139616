"""Recovery from a counter that was lost, split or replaced (docs/counter-recovery.md).

No I/O here: `routing.recovery` and the emulator drive the package through `RecoveryPort`. Each module has one
job: `core` (heartbeats and changes of the epoch), `epochs` (which epoch, and the names at the counter),
`epoch_register` and `epoch_membership` (their calls to the counter), `counting` (the decisions' counts),
`ledger` (this limiter's units), `replay` (sends them again), `quota_grant` (the share that is granted),
`log_records` and `log_reader` (the ledger's append-only log on disk).
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
