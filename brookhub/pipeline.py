"""A chain of stages that each request passes: it goes on by `take`, and its end comes back by `ended`."""

from __future__ import annotations

from typing import Any, Sequence

from .model import Answer
from .ports import GatewayPort


class Stage:
    """A link of the chain. `take(request)` passes a request on to `next`, keeps it or ends it."""

    next: Any = None  # the neighbours, set by `link`
    before: Any = None

    def __init__(self, port: GatewayPort) -> None:
        self.port = port

    def ended(self, request: Any, answer: Answer) -> None:
        """The request has its final answer: undo what was kept for it and tell `before`."""
        self.before.ended(request, answer)


def link(stages: Sequence[Stage]) -> None:
    """Make neighbours of the stages, the first one first."""
    for stage, following in zip(stages, stages[1:], strict=False):
        stage.next, following.before = following, stage
