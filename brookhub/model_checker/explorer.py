"""Explicit-state search over a model, by deviations from its default schedule.

This is delay-bounded scheduling (Emmi, Qadeer and Rakamaric 2011): at each step the schedule's own next
action is free, any other action costs deviations, of which a trail has a few. States with fewer deviations
are searched first, among those the ones with fewer steps: the trail to a violation has the fewest faults, and
is the shortest with as few.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from time import monotonic
from typing import Generic, NamedTuple, Protocol, TypeVar

State = TypeVar("State")
Action = TypeVar("Action")


class SearchableModel(Protocol[State, Action]):
    """What can be searched. States are immutable."""

    def initial_state(self) -> State:
        """The state in which each trail begins."""

    def default_action(self, state: State) -> Action | None:
        """The schedule's own next action, None where there is none."""

    def other_actions(self, state: State) -> Iterable[tuple[Action, int]]:
        """All other actions, each with its cost in deviations."""

    def successor(self, state: State, action: Action) -> State:
        """The state after an action."""

    def violation(self, state: State) -> str | None:
        """Which invariant a state violates, None where it violates none."""

    def key(self, state: State) -> Hashable:
        """Equal for states that need not be told apart."""


@dataclass(frozen=True)
class SearchLimits:
    """Where a search ends, at the latest."""

    deviations: int  # on one trail
    depth: int  # actions on one trail
    states: int = 1_000_000
    seconds: float = 60.0
    sample_every: int = 200  # states, of which one is kept for checks of liveness


@dataclass
class SearchResult(Generic[State, Action]):
    """What a search saw. `complete`: no state within the deviations and the depth was left out."""

    states: int = 0
    deviations: int = 0  # the most that a searched state has used
    depth: int = 0
    seconds: float = 0.0
    complete: bool = True
    violation: str | None = None
    trail: list[Action] = field(default_factory=list)  # to the violation
    samples: list[State] = field(default_factory=list)


class Node(NamedTuple, Generic[State]):
    """A state that waits to be searched."""

    state: State
    key: int
    deviations_left: int
    depth: int


class Search(Generic[State, Action]):
    """One search. `run` once."""

    def __init__(self, model: SearchableModel[State, Action], limits: SearchLimits) -> None:
        self.model = model
        self.limits = limits
        self.result: SearchResult[State, Action] = SearchResult()
        self.deviations_left: dict[int, int] = {}  # by key of a state: the most with which it was reached
        self.came_from: dict[int, tuple[int, Action]] = {}  # by key: the key before and the action
        self.queues: list[deque[Node[State]]] = [deque() for _ in range(limits.deviations + 1)]  # by use

    def run(self) -> SearchResult[State, Action]:
        """Search until a violation, a limit, or the end."""
        started_at = monotonic()
        first = self.model.initial_state()
        self._enqueue(Node(first, hash(self.model.key(first)), self.limits.deviations, 0))
        while queue := next(filter(None, self.queues), None):
            node = queue.popleft()
            if self.deviations_left[node.key] > node.deviations_left:
                continue  # reached again since, with more deviations left
            self._visit(node)
            if self.result.violation is not None:
                self.result.trail = self._trail_to(node.key)
                break
            if self.result.states >= self.limits.states or monotonic() - started_at > self.limits.seconds:
                self.result.complete = False
                break
            if node.depth < self.limits.depth:
                self._expand(node)
        self.result.seconds = monotonic() - started_at
        return self.result

    def _enqueue(self, node: Node[State]) -> None:
        """Have a state searched later."""
        self.deviations_left[node.key] = node.deviations_left
        self.queues[self.limits.deviations - node.deviations_left].append(node)

    def _visit(self, node: Node[State]) -> None:
        """Count a state and check its invariants."""
        result = self.result
        result.states += 1
        result.depth = max(result.depth, node.depth)
        result.deviations = self.limits.deviations - node.deviations_left
        if result.states % self.limits.sample_every == 0:
            result.samples.append(node.state)
        result.violation = self.model.violation(node.state)

    def _expand(self, node: Node[State]) -> None:
        """Enqueue all successors that are new, or reached with more deviations left than before."""
        for action, cost in self._actions(node):
            following = self.model.successor(node.state, action)
            key = hash(self.model.key(following))
            left = node.deviations_left - cost
            if self.deviations_left.get(key, -1) < left:
                self.came_from[key] = (node.key, action)
                self._enqueue(Node(following, key, left, node.depth + 1))

    def _actions(self, node: Node[State]) -> list[tuple[Action, int]]:
        """The actions that a state's deviations allow, the default one first."""
        default = self.model.default_action(node.state)
        actions = [] if default is None else [(default, 0)]
        others = self.model.other_actions(node.state)
        return actions + [(action, cost) for action, cost in others if cost <= node.deviations_left]

    def _trail_to(self, key: int) -> list[Action]:
        """The actions that lead to a state."""
        trail = []
        while key in self.came_from:
            key, action = self.came_from[key]
            trail.append(action)
        trail.reverse()
        return trail


def search(model: SearchableModel[State, Action], limits: SearchLimits) -> SearchResult[State, Action]:
    """Search the states of a model within limits."""
    return Search(model, limits).run()
