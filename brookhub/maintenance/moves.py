"""What becomes of a plan's table: pure functions of the plan, the table and what the steward sees."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Iterable

import msgspec

from .messages import Table
from .plan import Plan

ROUNDING = 1e-9  # capacity that sums may lack


@dataclass(frozen=True)
class Figures:
    """What all limiters met over the last while: requests, served ones, and seconds that these took."""

    asked: float
    served: float
    took: float


def sum_figures(figures: Iterable[tuple[float, float, float]]) -> Figures:
    """The figures of several limiters, in all."""
    asked = served = took = 0.0
    for one in figures:
        asked, served, took = asked + one[0], served + one[1], took + one[2]
    return Figures(asked, served, took)


def change_one_voter(voters: tuple[str, ...], wanted: tuple[str, ...]) -> tuple[str, ...]:
    """One voter more or less at a time: any majority before shares one with any majority after."""
    more = [one for one in wanted if one not in voters]
    if more:
        return (*voters, more[0])
    less = [one for one in voters if one not in wanted]
    return tuple(one for one in voters if one != less[0])


def move(plan: Plan, table: Table, name: str, step: int = 0, done: bool = False) -> Table:
    """The table with a machine at another step, or back (0); `done`: the plan is done with it."""
    outs = tuple((one, step if one == name else at) for one, at in table.outs if one != name or step)
    bit = 1 << [one.name for one in plan.machines].index(name) if done else 0
    return msgspec.structs.replace(table, outs=outs, done=table.done | bit)


def why_capacity(plan: Plan, table: Table, down: set[str]) -> str:
    """Why too little capacity is left, "" where enough is; `down`: machines that failed by themselves."""
    total = sum(one.capacity for one in plan.machines)
    away = sum(one.capacity for one in plan.machines if one.name in down or table.step(one.name))
    left, least = total - away, plan.capacity_least * total
    if left < least - ROUNDING:
        return f"{left:g} of {total:g} capacity is left, {least:g} has to stay"
    return ""


def why_answers(plan: Plan, figures: Figures, asked_least: float) -> str:
    """Why requests fare too badly, "" where they fare well or are too few to tell."""
    if figures.asked >= asked_least and figures.served < plan.served_least * figures.asked:
        share = figures.served / figures.asked
        return f"{share:.3f} of the calls are served, {plan.served_least:g} is the least"
    if not plan.answer_most_s or figures.served < asked_least:
        return ""
    if figures.took > plan.answer_most_s * figures.served:
        mean = figures.took / figures.served
        return f"an answer takes {mean:.2f} s in the mean, {plan.answer_most_s:g} s is the most"
    return ""
