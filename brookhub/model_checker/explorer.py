"""Explicit-state search over a model, ordered by deviations from the model's default schedule.

This is delay-bounded scheduling (Emmi, Qadeer and Rakamaric 2011). At each step the default action is free;
any other action costs deviations, whose number on one trail is limited. States with fewer deviations are
searched first, and among those the states with fewer steps. The trail to a violation therefore has as few
deviations as possible, and is the shortest trail with that number.
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
    """A model that can be searched. Its states are immutable."""

    def initial_state(self) -> State:
        """Return the state in which each trail begins."""

    def default_action(self, state: State) -> Action | None:
        """Return the next action of the default schedule, None if there is none."""

    def other_actions(self, state: State) -> Iterable[tuple[Action, int]]:
        """Return all possible actions except the default one, each with its cost in deviations."""

    def successor(self, state: State, action: Action) -> State:
        """Return the state after an action."""

    def violation(self, state: State) -> str | None:
        """Describe the invariant that a state violates, None if it violates none."""

    def key(self, state: State) -> Hashable:
        """Return a key that is equal for states that need not be distinguished."""


@dataclass(frozen=True)
class SearchLimits:
    """The limits of a search. It stops at the first limit that is reached."""

    deviations: int  # Maximum number of deviations on one trail.
    depth: int  # Maximum number of actions on one trail.
    states: int = 1_000_000
    seconds: float = 60.0
    sample_every: int = 200  # One state in this many is kept as a sample for liveness checks.


@dataclass
class SearchResult(Generic[State, Action]):
    """The result of a search.

    `complete` is true if all states that the limits of deviations and depth allow were searched.
    """

    states: int = 0
    deviations: int = 0  # Maximum number of deviations on the trail to a searched state.
    depth: int = 0
    seconds: float = 0.0
    complete: bool = True
    violation: str | None = None
    trail: list[Action] = field(default_factory=list)  # The actions that lead to the violation.
    samples: list[State] = field(default_factory=list)


class Node(NamedTuple, Generic[State]):
    """A state that is queued to be searched."""

    state: State
    key: int
    deviations_left: int
    depth: int


class Search(Generic[State, Action]):
    """One search. `run` must be called only once."""

    def __init__(self, model: SearchableModel[State, Action], limits: SearchLimits) -> None:
        self.model = model
        self.limits = limits
        self.result: SearchResult[State, Action] = SearchResult()
        # By state key: the maximum number of deviations left when the state was reached.
        self.deviations_left: dict[int, int] = {}
        # By state key: the key of the previous state, and the action that leads from it.
        self.predecessors: dict[int, tuple[int, Action]] = {}
        # By the number of deviations used: the states to be searched.
        self.queues: list[deque[Node[State]]] = [deque() for _ in range(limits.deviations + 1)]

    def run(self) -> SearchResult[State, Action]:
        """Search until a violation is found, a limit is reached, or all states are searched."""
        started_at = monotonic()
        first = self.model.initial_state()
        self._enqueue(Node(first, hash(self.model.key(first)), self.limits.deviations, 0))
        while queue := next(filter(None, self.queues), None):
            node = queue.popleft()
            if self.deviations_left[node.key] > node.deviations_left:
                continue  # The state was reached again with more deviations left since it was queued.
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
        """Queue a state to be searched."""
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
        """Enqueue all successors that are new or are reached with more deviations left than before."""
        for action, cost in self._actions(node):
            successor = self.model.successor(node.state, action)
            key = hash(self.model.key(successor))
            left = node.deviations_left - cost
            if self.deviations_left.get(key, -1) < left:
                self.predecessors[key] = (node.key, action)
                self._enqueue(Node(successor, key, left, node.depth + 1))

    def _actions(self, node: Node[State]) -> list[tuple[Action, int]]:
        """Return the actions that the remaining deviations allow, the default action first."""
        default = self.model.default_action(node.state)
        actions = [] if default is None else [(default, 0)]
        others = self.model.other_actions(node.state)
        return actions + [(action, cost) for action, cost in others if cost <= node.deviations_left]

    def _trail_to(self, key: int) -> list[Action]:
        """Return the actions that lead to a state."""
        trail = []
        while key in self.predecessors:
            key, action = self.predecessors[key]
            trail.append(action)
        trail.reverse()
        return trail


def search(model: SearchableModel[State, Action], limits: SearchLimits) -> SearchResult[State, Action]:
    """Search the states of a model within limits."""
    return Search(model, limits).run()
