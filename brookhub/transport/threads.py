"""Threads with small stacks, started without waiting until they run."""

from __future__ import annotations

import _thread
import threading
from collections.abc import Callable
from typing import TypeVarTuple

Arguments = TypeVarTuple("Arguments")
STACK_BYTES = 256 * 1024  # Address space per stack; only pages that are touched use memory.


def use_small_stacks() -> None:
    """Set a small stack size for all threads started later. Call this before starting the first one."""
    threading.stack_size(STACK_BYTES)


def start_thread(work: Callable[[*Arguments], object], *arguments: *Arguments) -> bool:
    """Start a daemon thread; return False if the system cannot start one.

    Unlike `threading.Thread.start`, this does not wait until the thread runs, which would cost two thread
    switches per connection.
    """
    try:
        _thread.start_new_thread(work, arguments)
    except RuntimeError:
        return False
    return True
