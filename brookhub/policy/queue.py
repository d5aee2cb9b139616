"""Requests that wait for a place at a server."""

from collections import deque

from ..model import Answer
from ..pipeline import Stage
from .constants import QUEUE_PART, SWEEP
from .repeats import attempts_that_may_have_run


class Queue(Stage):
    """Work waits here, and a server gets the next when one of its places comes free."""

    def __init__(self, port):
        self.port, self.waiting, self.look_at = port, deque(), 0.0

    def too_long(self, pending):  # seconds of wait if the queue can't meet the latency target, else 0
        delay = self.next.delay()
        wait = len(self.waiting) * delay / max(1, self.next.in_flight)
        return wait if wait + delay > QUEUE_PART * (pending.target_at - self.port.now) else 0.0

    def take(self, pending):
        self.waiting.append(pending)
        self.dispatch()

    def dispatch(self):  # hand out what places are free; tell at once what can't meet its target any more
        waiting, self.waiting, blocked, delay = self.waiting, deque(), False, self.next.delay()
        for pending in waiting:
            if self.port.now > pending.request.deadline:  # where this process stood still, its timer is late
                self.next.give_up(pending)
            may_go = not pending.done and not blocked and self.before.has_room(pending)
            if view := may_go and self.next.choose_server(pending):
                self.next.start_attempt(pending, view)
            elif not pending.done and self.port.now + delay > pending.target_at:
                pending.retry_after = delay
                self.next.ended(pending, Answer.REJECTED)
            elif not pending.done:
                self.waiting.append(pending)
                blocked = blocked or not attempts_that_may_have_run(pending) and self.before.has_room(pending)
        if self.waiting and self.port.now >= self.look_at:
            self.look_at = self.port.now + 0.9 * SWEEP
            self.port.later(SWEEP, self.dispatch)
