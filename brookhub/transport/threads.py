"""Threads with small stacks."""

from __future__ import annotations

import _thread
import threading
from typing import Callable

STACK_BYTES = 256 * 1024  # bytes of address space for a thread's stack; only what is touched takes memory


def use_small_stacks() -> None:
    """To be called before the first thread is started."""
    threading.stack_size(STACK_BYTES)


def start_thread(name: str, work: Callable[..., None], *args) -> bool:
    """Start a thread that ends with the program; False where the system has none left to give.

    It is not waited for until it runs, as `threading.Thread` would: two switches that each connection would
    pay.
    """
    try:
        _thread.start_new_thread(work, args)
    except RuntimeError:
        return False
    return True
