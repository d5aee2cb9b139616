"""Threads with small stacks, started without waiting for them."""

from __future__ import annotations

import _thread
import threading
from collections.abc import Callable
from typing import TypeVarTuple

Arguments = TypeVarTuple("Arguments")
STACK_BYTES = 256 * 1024  # address space of a thread's stack; only what is touched takes memory


def use_small_stacks() -> None:
    """Give all threads that are started from now on small stacks. Called before the first one."""
    threading.stack_size(STACK_BYTES)


def start_thread(work: Callable[[*Arguments], object], *arguments: *Arguments) -> bool:
    """Start a thread that ends with the program; False where the system can't start one.

    The caller does not wait until it runs, as with `threading.Thread`: that would cost each connection two
    thread switches.
    """
    try:
        _thread.start_new_thread(work, arguments)
    except RuntimeError:
        return False
    return True
