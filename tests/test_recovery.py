"""Recovery without I/O: keepers that are wiped, swapped, split and come back; the ledger as bytes.

A fleet in the emulator.
"""

import heapq
import random

import pytest

from brookhub.emulator.counter import CounterInstance
from brookhub.experiments import recovery as lab
from brookhub.experiments.recovery import Debt
from brookhub.model import Outcome
from brookhub.recovery import (
    Epochs,
    Ledger,
    Record,
    Recovery,
    Settings,
    UnusableError,
    append,
    scan,
    snapshot,
)
from brookhub.recovery.epochs import ERA

BEAT = 1.0


class World:
    """A few limiters on keepers in simulated time; answers take 2 to 6 ms, and may be lost."""

    def __init__(self, count=4, seed=1, **settings):
        self.now, self.order, self.events, self.rng = 100.0, 0, [], random.Random(seed)
        self.keepers, self.seen, self.lost = [CounterInstance()], {}, 0.0
        self.logs, self.parts, self.settings = [], {}, Settings(BEAT, **settings)
        self.seats = [self.launch(n, count) for n in range(count)]

    def launch(self, index, count, ledger=None):
        one = Recovery(Seat(self, index), index, count, self.settings, ledger)
        self.parts[index] = 1.0
        one.start()
        return one

    def at(self, when, act):
        self.order += 1
        heapq.heappush(self.events, (when, self.order, act))

    def run(self, seconds):
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, act = heapq.heappop(self.events)
            act()
        self.now = end

    def keeper(self, index):
        return self.keepers[self.seen.get(index, 0)]

    def count(self, index, name, amount=1.0, lives=30.0):
        heard = []
        self.seats[index].count(
            name, amount, lives, lambda outcome, total, took: heard.append((outcome, total))
        )
        return heard

    def total(self, name, keeper=0):
        """What the keeper holds under the epoch of who sees it."""
        seats = [one for one in self.seats if self.keeper(one.port.index) is self.keepers[keeper]]
        assert len({one.epochs.epoch for one in seats}) == 1
        return self.keepers[keeper].total(seats[0].epochs.name(name))

    def own(self, name):
        return sum(one.ledger.entries[name].own for one in self.seats if name in one.ledger.entries)

    def said(self, event):
        return [facts for _, what, facts in self.logs if what == event]


class Seat:
    """Recovery's port."""

    def __init__(self, world, index):
        self.world, self.index, self.chance = world, index, random.Random(index).random

    def now(self):
        return self.world.now

    clock = now

    def add(self, name, amount, lives, told):
        world = self.world
        total = world.keeper(self.index).add(name, amount, lives, world.now)
        took = 0.002 + 0.004 * world.rng.random()
        if world.rng.random() < world.lost:
            return world.at(world.now + 0.05, lambda: told(Outcome.TIMEOUT, 0.0, 0.05))
        world.at(world.now + took, lambda: told(Outcome.OK, total, took))

    def later(self, seconds, act):
        self.world.at(self.world.now + seconds, act)

    def grant(self, part):
        self.world.parts[self.index] = part

    def log(self, event, **facts):
        self.world.logs.append((self.index, event, facts))


def settled(world, seconds=4.5 * BEAT):
    world.run(seconds)
    assert all(one.sure() for one in world.seats)


@pytest.mark.parametrize("seed", range(6))
def test_one_epoch_is_agreed_on_at_the_start_and_kept_through_many_eras(seed):
    world = World(7, seed)
    settled(world)
    epochs = {one.epochs.epoch for one in world.seats}
    assert len(epochs) == 1 and 0 not in epochs
    world.run(4.5 * ERA)
    assert {one.epochs.epoch for one in world.seats} == epochs and not world.said("counter changed")
    assert set(world.parts.values()) == {1.0}


def test_an_epoch_is_carried_once_where_many_are_on_their_turn_at_one_moment():
    # Guards: with 200 limiters two looked at the next era's register within a round trip now and then, and
    # both carried the epoch there: a false change for the whole fleet.
    world = World(60, 2)
    settled(world)
    world.run(ERA - world.now % ERA + 0.45 * ERA)
    for one in world.seats:
        one.epochs.carries = lambda clock: True
        one.carry(world.now)
    world.run(2 * ERA)
    assert not world.said("counter changed") and len({one.epochs.epoch for one in world.seats}) == 1


@pytest.mark.parametrize("at", [2.0, 8.0, 12.0, 19.5])
@pytest.mark.parametrize("what", ["lose", "back"])
def test_a_change_late_in_an_era_is_one_change_and_the_next_era_begins_with_it(at, what):
    world, chance = World(6, 9), random.Random(9)
    world.run(2 * ERA - 100.0 % ERA + ERA + at - 10.0)  # so far into an era, less the faults below
    for _ in range(60):
        world.count(chance.randrange(6), chance.randrange(8))
        world.run(0.004)
    old = world.keepers[0]
    if what == "lose":
        for name in [name for name in old.counts if name < 1 << 100]:
            del old.counts[name]
    else:
        world.keepers[0] = CounterInstance()
        world.run(4 * BEAT)
        world.keepers[0] = old
    for _ in range(60):
        world.count(chance.randrange(6), chance.randrange(8))
        world.run(0.004)
    settled(world)
    changes = len({facts["epoch"] for facts in world.said("counter changed")})
    world.run(2 * ERA)
    assert (
        len({facts["epoch"] for facts in world.said("counter changed")})
        == changes
        == (1 if what == "lose" else 2)
    )


def test_the_first_is_carried_into_an_era_by_the_others_where_whoever_has_the_turn_is_gone():
    world = World(4, 3)
    settled(world)
    epoch = world.seats[0].epochs.epoch
    for gone in (0, 1, 2):
        world.seats[gone].beat = lambda: None
    world.run(3 * ERA)
    assert world.seats[3].epochs.epoch == epoch


@pytest.mark.parametrize("hurt", ["wipe", "lose", "swap"])
@pytest.mark.parametrize("seed", range(4))
def test_units_are_counted_again_exactly_once_after_each_fault(hurt, seed):
    world, chance = World(5, seed), random.Random(seed)
    settled(world)
    names = list(range(1, 60))

    def spend(times):
        for _ in range(times):
            world.count(chance.randrange(5), chance.choice(names), chance.choice([1.0, 2.0]))
            world.run(0.004)

    spend(300)
    old = world.keepers[0]
    if hurt == "wipe":
        old.counts.clear()
    elif hurt == "swap":
        world.keepers[0] = CounterInstance()
    else:
        for name in chance.sample(list(old.counts), len(old.counts) // 2):
            del old.counts[name]
    spend(200)  # while some have noticed and some have not
    settled(world)
    assert [world.total(name) for name in names] == pytest.approx([world.own(name) for name in names])
    if hurt == "swap":  # the old one comes back, with its old counts and its old epoch
        world.keepers[0] = old
        spend(200)
        settled(world)
        assert world.said("counter changed")[-1]["why"] in ("another", "one that was left came back")
        assert [world.total(name) for name in names] == pytest.approx([world.own(name) for name in names])
    spend(50)
    world.run(0.1)
    assert [world.total(name) for name in names] == pytest.approx([world.own(name) for name in names])


def test_each_side_of_a_split_is_granted_its_part_and_the_counts_are_one_again_after_it():
    world, chance = World(10, 5), random.Random(5)
    settled(world)
    for _ in range(100):
        world.count(chance.randrange(10), 7)
        world.run(0.004)
    world.keepers.append(CounterInstance())
    world.seen = {n: 1 for n in range(6, 10)}
    world.run(6 * BEAT)
    assert [world.parts[n] for n in range(10)] == [0.6] * 6 + [0.4] * 4  # in all no more than one quota
    for _ in range(60):
        world.count(chance.randrange(10), 7)
        world.run(0.004)
    world.seen = {}
    settled(world)
    assert world.total(7) == pytest.approx(world.own(7)) and world.own(7) == 160
    world.run(2 * BEAT)
    assert set(world.parts.values()) == {1.0}


def test_a_few_that_are_missing_are_taken_for_crashed_and_more_for_a_split():
    world = World(20, 2)
    settled(world)
    for gone in (3, 4):
        world.seats[gone].beat = lambda: None
    world.run(6 * BEAT)
    assert world.parts[0] == 1.0
    world.seats[5].beat = lambda: None
    world.run(6 * BEAT)
    assert world.parts[0] == pytest.approx(17 / 20)
    for one in world.seats:
        one.fleet(17)  # membership: three have left
    assert world.parts[0] == 1.0


def test_while_it_is_unsure_nothing_is_asked_and_what_is_noted_is_added_later_and_not_taken_for_others():
    world = World(3, 4)
    settled(world)
    assert world.count(0, 9, 3.0) == [] and world.count(1, 9, 2.0) == []
    world.run(0.1)
    world.keepers[0].counts.clear()
    world.run(1.2 * BEAT)
    assert set(world.parts.values()) == {0.0}
    heard = world.count(0, 9, 4.0)
    world.run(0.01)
    assert heard == [(Outcome.DEFERRED, 0.0)]
    settled(world)
    heard = world.count(0, 9, 1.0)
    world.run(0.1)
    assert heard == [(Outcome.OK, 3.0 + 2.0 + 1.0)]  # the 4 noted here are no one else's
    assert world.total(9) == 10.0


def test_lost_answers_cost_no_false_alarm_and_are_in_doubt_once():
    world, chance = World(4, 6), random.Random(6)
    settled(world)
    world.lost = 0.2
    for _ in range(1500):
        world.count(chance.randrange(4), chance.randrange(5))
        world.run(0.004)
    world.lost = 0.0
    assert not world.said("count lost") and not world.said("counter changed")
    world.keepers[0].counts.clear()  # what was in doubt at the old one is whole at the new one
    settled(world)
    assert [world.total(name) for name in range(5)] == [world.own(name) for name in range(5)]


def test_what_is_given_back_in_the_next_window_leaves_no_part_below_nothing_and_raises_no_alarm():
    # Guards: the decisions give an ask back that was refused after the window's turn; a limiter's part of the
    # new name fell below nothing, and another found a total (1) below its own part (2): a false alarm for the
    # whole fleet.
    world = World(3, 4)
    settled(world)
    world.count(0, 9, -3.0)
    world.count(1, 9, 2.0)
    world.count(0, 9, 1.0)
    world.count(0, 9, -2.0)
    heard = world.count(1, 9, 0.0)
    world.run(2 * BEAT)
    assert heard == [(Outcome.OK, 2.0)] and world.total(9) == world.own(9) == 2.0
    assert not world.said("count lost") and not world.said("counter changed")


def test_units_that_the_counter_turned_away_are_not_the_ledger_s():
    world = World(2, 1)
    settled(world)
    one, add = world.seats[0], world.seats[0].port.add
    one.port.add = lambda name, amount, lives, told: told(Outcome.BUSY, 0.0, 0.0)
    assert world.count(0, 5, 3.0) == [(Outcome.BUSY, 0.0)]
    one.port.add = add
    assert one.ledger.entries[5].own == 0 == one.ledger.entries[5].owed()


def test_a_ledger_read_from_disk_is_added_again_where_the_counter_was_wiped_meanwhile():
    world = World(3, 8)
    settled(world)
    world.count(1, 4, 6.0)
    world.run(0.1)
    kept = snapshot(world.seats[1].ledger, world.now, 1e9)
    world.seats[1].beat = world.seats[1].stroke = lambda: None  # it is gone
    world.keepers[0].counts.clear()
    world.run(4.5 * BEAT)
    # Its units are lost, unless they were kept
    assert world.keepers[0].total(world.seats[0].epochs.name(4)) == 0.0
    world.seats[1] = world.launch(1, 3, scan(kept, world.now, 1e9 + 5.0).ledger)
    world.run(BEAT)
    assert world.total(4) == 6.0


# names and registers


def test_names_of_epochs_registers_and_rolls_never_meet_and_fit_the_wire():
    one = Epochs(0, 3, 1.0)
    one.enter(99_999 * 20, 50.0)
    names = [
        one.name((2**33 - 1) << 31 | 2**31 - 1),
        one.name(0),
        one.register(1.8e9),
        one.register(1.8e9, 1),
        one.roll(1.8e9),
        one.roll(1.8e9, 1),
        one.claim(1.8e9, 0),
        one.claim(1.8e9, 99_999),
    ]
    assert len(set(names)) == len(names) and all(len(str(name)) <= 64 for name in names)
    before = one.name(5)
    one.enter(7, 60.0)
    assert (
        one.name(5) != before
        and one.read(99_999 * 20) == "left"
        and one.read(7) == "same"
        and one.read(0) == "empty"
    )


# a fleet of 200 in the emulator, real decisions


@pytest.mark.parametrize("kind, for_s", [("wipe", 0.0), ("lose", 0.0), ("swap", 4.0), ("split", 4.0)])
def test_two_hundred_limiters_keep_within_the_bound_and_agree_again(kind, for_s):
    """Six customers that ask for half as much again as they may.

    Counts agree once all have looked, and added.
    """
    row = lab.play(
        {"kind": kind, "way": "on", "limiters": 200, "for_s": for_s, "seed": 5, "few": 10, "tokened": True}
    )
    assert not row["broken"] and row["of_bound"] <= 1.0 and row["ceiling_over"] == 0.0
    assert row["agreed_s"] is not None and row["agreed_s"] <= 6.0
    assert 2 <= row["epochs"] <= 5 and row["served"] > 0.5
    # Refused calls come again with their token, anywhere
    assert row["twice"] == 0 and (kind != "split" or row["both_sides"] > 3)


def test_a_hard_ceiling_of_a_soft_plan_holds_on_both_sides_of_a_split():
    """A customer who borrows beyond its quota and asks for two and a half times its ceiling.

    What holds it is the ceiling alone, which two counters each grant whole. (Hard plans come to their quota
    before their ceiling, and show nothing.).
    """
    rows = {
        way: lab.play(
            {
                "kind": "split",
                "way": way,
                "limiters": 200,
                "for_s": 4.0,
                "seed": 5,
                "few": 10,
                "plans": "national",
            }
        )
        for way in ("off", "on")
    }
    assert rows["off"]["ceiling_over"] > 0.3 and rows["off"]["of_ceiling"] > 1.0
    assert (
        rows["on"]["ceiling_over"] == 0.0 and rows["on"]["of_bound"] <= 1.0 and rows["on"]["of_ceiling"] > 0.7
    )
    assert not rows["on"]["broken"]


def test_a_bound_is_a_formula_of_the_settings():
    assert lab.bound(20.0, 40.0, "none", 30.0, 1.0, 0.05) == 0.0
    assert lab.bound(20.0, 40.0, "wipe", 30.0, 1.0, 0.05) == pytest.approx(30.0 * 1.15)
    assert lab.bound(20.0, 40.0, "wipe", 900.0, 1.0, 0.05) == 40.0  # at most a burst
    assert lab.bound(20.0, 40.0, "split", 900.0, 1.0, 0.05) == pytest.approx(80.0 + 20.0 * 4.05)


# the disk


def written(count=20, seed=1):
    chance = random.Random(seed)
    return [
        Record(str((n + 1) << 71 | n), chance.choice([1.0, 2.5, -1.0]), 30.0, 1000.0 + n)
        for n in range(count)
    ]


def sums(records):
    found = {}
    for one in records:
        found[int(one.name)] = found.get(int(one.name), 0.0) + one.amount
    return found


def test_a_torn_last_record_is_skipped_at_every_byte_and_nothing_else_is_lost():
    records = written(5)
    whole = b"".join(map(append, records))
    last = len(append(records[-1]))
    for cut in range(1, last):
        found = scan(whole[:-cut], 0.0, 0.0)
        assert {name: one.own for name, one in found.ledger.entries.items()} == sums(records[:-1])
        assert found.torn == last - cut and found.skipped == 0
    assert scan(whole, 0.0, 0.0).records == 5


@pytest.mark.parametrize("seed", range(3))
def test_a_record_spoilt_at_any_byte_is_skipped_and_the_others_are_read(seed):
    records, chance = written(12, seed), random.Random(seed)
    parts = [append(one) for one in records]
    for number in range(len(records) - 1):
        for place in range(len(parts[number])):
            spoilt = bytearray(parts[number])
            spoilt[place] ^= 1 << chance.randrange(8)
            data = b"".join(parts[:number]) + bytes(spoilt) + b"".join(parts[number + 1 :])
            found = scan(data, 0.0, 0.0)
            assert {name: one.own for name, one in found.ledger.entries.items()} == sums(
                records[:number] + records[number + 1 :]
            )
            assert found.skipped


def test_a_snapshot_goes_before_what_is_appended_after_it_and_the_dead_are_left_out():
    ledger = Ledger()
    ledger.entry(3, 10.0, 0.0).own = 4.0
    ledger.entry(4, 2.0, 0.0).own = 1.0
    data = snapshot(ledger, 1.0, 500.0) + append(Record("3", 2.0, 10.0, 509.0))
    found = scan(data, 0.0, 503.0)
    assert {name: one.own for name, one in found.ledger.entries.items()} == {3: 6.0} and found.ledger.entries[
        3
    ].dies == 6.0
    with pytest.raises(UnusableError):
        scan(b"not a ledger at all", 0.0, 0.0)
    assert scan(b"", 0.0, 0.0).records == 0


def test_debt_is_the_most_over_any_span():
    debt = Debt(1.0, 2.0)
    for at in (0.0, 0.0, 0.0, 10.0, 10.0, 10.5):
        debt.take(at, 1.0)
    assert debt.worst == 1.0
