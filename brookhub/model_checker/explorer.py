"""Search over the states of a model, by deviations from a plain schedule.

That is delay-bounded scheduling (Emmi, Qadeer and Rakamaric 2011): at each step the schedule's own next thing
is free, anything else costs one of a few deviations. Fewest deviations first, among those fewest steps: the
trail that is found to a broken state has the fewest faults, and no shorter one has as few.

A model has: `start()` -> state, `plain(state)` -> action or None, `others(state)` -> [(action, cost)],
`after(state, action)` -> state, `broken(state)` -> text or "", `key(state)` -> hashable. States are
immutable.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from time import monotonic
from typing import Any


@dataclass
class Found:
    """What a search saw. `complete`: no state within the bounds was left out."""

    states: int = 0
    deviations: int = 0  # the most that a state within `states` has used
    depth: int = 0
    seconds: float = 0.0
    complete: bool = True
    broken: str = ""
    trail: list = field(default_factory=list)
    ends: list = field(default_factory=list)  # a sample of states seen, for what has to hold from each on


def search(
    model, deviations: int, depth: int, states: int = 1_000_000, seconds: float = 60.0, sample: int = 200
) -> Found:
    """All states within so many deviations and steps, up to a number of states and a time (s)."""
    found, began = Found(), monotonic()
    first = model.start()
    seen: dict[int, int] = {
        hash(model.key(first)): deviations
    }  # state -> most deviations left when it was met
    came: dict[int, tuple[int, Any]] = {}
    queues = [deque() for _ in range(deviations + 1)]  # by deviations used
    queues[0].append((first, hash(model.key(first)), deviations, 0))
    while queue := next(filter(None, queues), None):
        state, here, left, steps = queue.popleft()
        if seen[here] > left:
            continue  # met again since, with more left
        found.states, found.depth = found.states + 1, max(found.depth, steps)
        found.deviations = deviations - left
        if found.states % sample == 0:
            found.ends.append(state)
        found.broken = model.broken(state)
        if found.broken:
            while here in came:
                here, action = came[here]
                found.trail.append(action)
            found.trail.reverse()
            break
        if found.states >= states or monotonic() - began > seconds:
            found.complete = False
            break
        if steps >= depth:
            continue
        plain = model.plain(state)
        choices = ([(plain, 0)] if plain is not None else []) + [
            one for one in model.others(state) if one[1] <= left
        ]
        for action, cost in choices:
            following = model.after(state, action)
            key = hash(model.key(following))
            if seen.get(key, -1) < left - cost:
                came[key] = (here, action)
                seen[key] = left - cost
                queues[deviations - left + cost].append((following, key, left - cost, steps + 1))
    found.seconds = monotonic() - began
    return found
