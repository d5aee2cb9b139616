"""Membership's core without I/O, in simulated time.

Each hard case is caused, the rules of its numbers are checked at every step of seeded random runs. On
processes: tests/test_fleet_processes.py.
"""

import contextlib
import random

import pytest

from brookhub.emulator.peers import FLEET, Crew
from brookhub.membership import ALIVE, DEAD, LARGEST, LEFT, SUSPECT, UNHEARD, UnreadableError, decode
from brookhub.membership.core import GROGGY, SHRINK
from brookhub.membership.messages import MOST_NEWS, NEWS, PING, VERSION, Message, _encoder, encode


def views(crew):
    return {name: seat.core.present for name, seat in crew.seats.items() if seat.alive}


# messages


def message(**more):
    return Message(
        **{
            "fleet": FLEET,
            "version": VERSION,
            "kind": PING,
            "source": "n1",
            "number": 7,
            "news": [("n2", SUSPECT, 3, "n1"), ("n3", LEFT, 0, "")],
            **more,
        }
    )


def test_a_message_comes_back_as_it_was_and_each_cut_of_it_is_dropped():
    data = encode(message())
    assert decode(data, FLEET) == message()
    for at in range(len(data)):
        with pytest.raises(UnreadableError):
            decode(data[:at], FLEET)


@pytest.mark.parametrize(
    "data, reason",
    [
        (encode(message(fleet="other")), "foreign"),
        (encode(message(version=2)), "version"),
        (b"\x00" * (LARGEST + 1), "oversized"),
        (_encoder.encode(message(kind=9)), "unreadable"),
        (_encoder.encode(message(news=[("n" * 33, 1, 0, "")])), "unreadable"),
        (_encoder.encode(message(news=[("n2", 5, 0, "")])), "unreadable"),
        (_encoder.encode(message(number=-1)), "unreadable"),
        (_encoder.encode(message(news=[("n2", 1, 2**41, "")])), "unreadable"),
        (_encoder.encode(message(news=[("a", 1, 0, "")] * (MOST_NEWS + 1))), "unreadable"),
        (_encoder.encode({"fleet": FLEET}), "unreadable"),
        (b"\x91" * 600, "unreadable"),
        (b"", "unreadable"),
    ],
)
def test_what_is_no_message_of_this_fleet_is_told_apart(data, reason):
    with pytest.raises(UnreadableError) as met:
        decode(data, FLEET)
    assert met.value.reason == reason


def test_random_and_spoilt_bytes_never_raise_anything_else():
    chance = random.Random(5)
    good = bytearray(encode(message()))
    for _ in range(5000):
        data = (
            bytearray(good) if chance.random() < 0.5 else bytearray(chance.randbytes(chance.randrange(1300)))
        )
        if data:
            data[chance.randrange(len(data))] ^= 1 << chance.randrange(8)
        with contextlib.suppress(UnreadableError):
            decode(bytes(data), FLEET)


def test_a_liar_among_the_listed_is_dropped_and_leaves_no_memory():
    crew = Crew(4, 1)
    crew.run(2)
    core = crew.seats["n0"].core
    core.received("n1", message(source="n2"))  # the address of one, the name of another
    assert core.counts["foreign"] == 1
    for number in range(2000):
        core.received("n1", message(news=[(f"x{number}", ALIVE, 0, "")], kind=NEWS))
        core.received("n1", message(kind=2, about="n3", number=number, news=[]))  # asks to have n3 probed
    assert core.counts["unlisted-member"] == 2000 and len(core.members) == 3 and len(core.news) <= 4
    assert len(core.asked) <= 4 * 3 + 17
    crew.run(5)
    assert crew.agree() and not core.asked


# who is there


@pytest.mark.parametrize("count, seed", [(4, 1), (8, 2), (40, 3)])
def test_a_fleet_that_starts_from_nothing_finds_itself(count, seed):
    crew = Crew(count, seed, warm=False)
    crew.run(4)
    assert crew.agree() and crew.observed == 0


@pytest.mark.parametrize("count, seed", [(4, 1), (8, 2), (40, 3), (200, 4)])
def test_a_death_is_known_to_all_within_three_seconds_and_a_planned_end_within_one(count, seed):
    crew = Crew(count, seed)
    crew.run(3)
    gone, ended = crew.names[1], crew.names[2]
    began = crew.engine.now
    crew.seats[gone].kill()
    crew.run(8)
    assert len(crew.deaths[gone]) == count - 1 and max(crew.deaths[gone].values()) - began < (
        3.0 if count > 4 else 4.5
    )
    crew.seats[ended].core.leave()
    crew.run(0.01)
    crew.seats[ended].kill()
    crew.run(1.5)
    assert {seat.core.members[ended].state for seat in crew.seats.values() if seat.alive} == {LEFT}


def test_a_restarted_member_with_a_lower_incarnation_refutes_its_own_death_and_its_own_planned_end():
    crew = Crew(6, 1)
    crew.run(2)
    for end in ("killed", "left"):
        crew.seats["n3"].core.incarnation += 5
        crew.seats["n3"].core.tell("n3", ALIVE, crew.seats["n3"].core.incarnation)
        crew.run(2)
        if end == "left":
            crew.seats["n3"].core.leave()
            crew.run(0.01)
        crew.seats["n3"].kill()
        crew.run(6)
        assert not any("n3" in held for held in views(crew).values())
        back = crew.launch("n3")
        assert back.core.incarnation == 0
        crew.run(4)
        assert crew.agree() and back.core.incarnation >= 6


def test_ten_percent_lost_doubled_and_reordered_make_no_false_death():
    for seed in (1, 2, 3):
        crew = Crew(40, seed)
        crew.net.loss = crew.net.doubled = crew.net.reordered = 0.1
        crew.run(60)
        assert crew.observed == 0 and crew.agree()


def test_a_link_dropped_one_way_takes_nobody_out_as_others_reach_it():
    crew = Crew(8, 1)
    crew.net.apart = lambda a, b: (a, b) == ("n1", "n2")
    crew.run(30)
    assert crew.observed == 0 and crew.agree()


def test_a_member_that_hears_nobody_is_taken_for_dead_and_comes_back_when_it_hears():
    crew = Crew(8, 1)
    crew.net.apart = lambda a, b: b == "n1"  # it sends; nothing reaches it
    crew.run(8)
    assert all("n1" not in held for name, held in views(crew).items() if name != "n1")
    crew.net.apart = None
    crew.run(5)
    assert crew.agree()


@pytest.mark.parametrize("lifeguard", [True, False])
def test_a_member_stopped_for_five_seconds_does_not_declare_others_dead(lifeguard):
    """Without its doubt of itself (plain SWIM) the suspicions that it held when it stopped end in deaths."""
    wrong = 0
    for seed in range(6):
        crew = Crew(8, seed, protocol="lifeguard" if lifeguard else "swim")
        crew.net.loss = 0.1
        crew.run(3)
        sleeper = crew.seats["n5"].core
        sleeper.hear("n2", SUSPECT, max(0, sleeper.members["n2"].incarnation), "n5")  # just before it stops
        crew.stall("n5", 5.0)
        crew.run(5.05)
        wrong += any("n5" in who for who in crew.deaths.values())
        crew.run(6)
        assert crew.agree()
    assert wrong == 0 if lifeguard else wrong > 0
    assert not lifeguard or sleeper.counts["slept"] == 1


def test_half_killed_at_once_and_all_restarted_together():
    crew = Crew(16, 1)
    crew.run(2)
    for name in crew.names[:8]:
        crew.seats[name].kill()
    crew.run(12)
    assert crew.agree()
    for name in crew.names[:8]:
        crew.launch(name)
    crew.run(5)
    assert crew.agree()
    for name in crew.names:
        crew.seats[name].kill()
    for name in crew.names:
        crew.launch(name)
    crew.run(5)
    assert crew.agree()


@pytest.mark.parametrize("count", [8, 40, 200])
def test_two_sides_of_a_split_find_each_other_within_five_seconds(count):
    crew = Crew(count, 1)
    crew.run(2)
    side = set(crew.names[: count // 2])
    crew.net.apart = lambda a, b: (a in side) != (b in side)
    crew.run(20)
    assert all(
        held == (side if name in side else set(crew.names) - side) - {name}
        for name, held in views(crew).items()
    )
    assert {seat.core.numbers[2] for seat in crew.seats.values()} == {count}  # both sides are still there
    assert {seat.core.numbers[0] for seat in crew.seats.values()} == {len(side)}
    crew.net.apart = None
    crew.run(5)
    assert crew.agree() and {seat.core.numbers[0] for seat in crew.seats.values()} == {count}


def test_a_flapping_link_leaves_the_told_number_where_it_was():
    crew, told = Crew(6, 1), []
    crew.seats["n0"].on_told = lambda *numbers: told.append(numbers)
    crew.run(1)
    for flap in range(20):  # cut for longer than a death takes, healed for less than SHRINK
        crew.net.apart = (lambda a, b: "n4" in (a, b)) if flap % 2 == 0 else None
        crew.run(SHRINK - 1.5)
    assert all(live == 6 and sure == 6 for live, _, sure in told)


def test_growth_counts_at_once_and_shrinking_late():
    crew, told = Crew(5, 1), []
    crew.seats["n0"].on_told = lambda *numbers: told.append((crew.engine.now, *numbers))
    crew.run(SHRINK + 1)
    crew.seats["n3"].core.leave()
    crew.run(0.01)
    crew.seats["n3"].kill()
    began = crew.engine.now
    crew.run(SHRINK + 1)
    when, live, rank, sure = told[-1]
    assert (live, rank, sure) == (4, 0, 4) and abs(when - began - SHRINK) < 0.5
    crew.launch("n3")
    began = crew.engine.now
    crew.run(2)
    assert told[-1][1:] == (5, 0, 5) and told[-1][0] - began < 1.0
    crew.seats["n3"].kill()  # a death is no leaving: it goes from the living, never from the sure
    crew.run(SHRINK + 6)
    assert told[-1][1:] == (4, 0, 5)


@pytest.mark.parametrize("seed", range(8))
def test_numbers_are_right_at_every_step_of_a_random_run_and_the_parts_of_all_never_pass_one(seed):
    """Joint parts are divided by `sure`.

    With it the parts of all that run add up to one at most, whatever views they have, while nobody that left
    comes back (docs/membership.md states the bound for that).
    """
    chance = random.Random(seed)
    crew = Crew(12, seed, warm=chance.random() < 0.5)
    crew.net.loss = 0.05
    for _step in range(60):
        living = [name for name, seat in crew.seats.items() if seat.alive]
        what = chance.random()
        if what < 0.15 and len(living) > 3:
            crew.seats[chance.choice(living)].kill()
        elif what < 0.4 and len(living) < 12:
            crew.launch(chance.choice(sorted(set(crew.names) - set(living))))
        elif what < 0.5:
            side = set(chance.sample(crew.names, 6))
            crew.net.apart = lambda a, b, side=side: (a in side) != (b in side)
        elif what < 0.7:
            crew.net.apart = None
        elif what < 0.8:
            crew.stall(chance.choice(living), 3.0)
        crew.run(chance.random() * 2)
        total = 0.0
        for name, seat in crew.seats.items():
            core = seat.core
            if seat.alive:
                live, rank, sure = core.numbers
                counted = [one.name for one in core.members.values() if one.counted]
                assert core.present <= set(counted)
                assert (live, rank) == (1 + len(counted), sum(other < name for other in counted))
                assert sure == 1 + sum(one.sure for one in core.members.values()) and live <= sure <= 12
                assert all(
                    (one.state in (ALIVE, SUSPECT)) == (one.name in core.present)
                    for one in core.members.values()
                )
                total += 1.0 / sure
        assert total <= 1.0 + 1e-9
    crew.net.apart, crew.net.loss = None, 0.0
    crew.run(12)
    assert crew.agree()


def test_a_left_member_that_returns_unheard_passes_one_by_no_more_than_the_bound():
    """The one way in which `sure` can be too small.

    It left, all know, and it runs again on the far side of a split.
    """
    crew = Crew(8, 1)
    crew.run(1)
    crew.seats["n7"].core.leave()
    crew.run(0.01)
    crew.seats["n7"].kill()
    crew.run(SHRINK + 2)
    side = {"n0", "n1", "n2", "n3"}
    crew.net.apart = lambda a, b: (a in side) != (b in side)
    crew.launch("n7")
    crew.run(5)
    sures = {name: seat.core.numbers[2] for name, seat in crew.seats.items() if seat.alive}
    assert {sures[name] for name in side} == {7} and {sures[name] for name in set(sures) - side} == {8}
    assert 1.0 < sum(1 / sure for sure in sures.values()) <= 1 + 1 / (8 - 1)


def test_all_packets_fit_and_what_a_member_sends_is_flat_as_the_fleet_grows():
    rates = {}
    for count in (8, 40, 200):
        crew = Crew(count, 1)
        send, largest = crew.net.send, []
        crew.net.send = lambda source, peer, data, send=send, largest=largest: (
            largest.append(len(data)),
            send(source, peer, data),
        )
        crew.run(1)
        side = set(crew.names[: count // 2])
        crew.net.apart = lambda a, b, side=side: (a in side) != (b in side)
        crew.run(5)
        crew.net.apart = None
        crew.run(2)
        assert max(largest) <= LARGEST
        quiet = Crew(count, 2)
        quiet.run(10)
        rates[count] = quiet.sent()[1] / count / 10
    assert max(rates.values()) < 2000 and rates[200] < 1.5 * rates[8]


def test_one_seed_makes_the_same_run():
    def trail(seed):
        crew = Crew(10, seed)
        crew.net.loss = 0.2
        crew.run(10)
        return [
            (name, dict(seat.core.counts), sorted(seat.core.present)) for name, seat in crew.seats.items()
        ]

    assert trail(1) == trail(1) != trail(2)


def test_unheard_members_are_listed_yet_count_for_the_living_only_until_shrink():
    crew = Crew(5, 1)
    for name in ("n3", "n4"):
        crew.seats[name].kill()
    crew.seats["n0"].kill()
    fresh = crew.launch("n0")
    assert fresh.core.numbers == (5, 0, 5)
    crew.run(SHRINK + 0.1)
    assert {fresh.core.members[name].state for name in ("n3", "n4")} <= {UNHEARD, DEAD, SUSPECT}
    crew.run(SHRINK + GROGGY)
    assert fresh.core.numbers == (3, 0, 5)


def test_a_list_read_again_takes_members_out_at_once():
    crew = Crew(5, 1)
    crew.run(2)
    core = crew.seats["n0"].core
    core.relist(["n1", "n2", "n9"])
    assert (
        core.numbers == (4, 0, 4) and set(core.members) == {"n1", "n2", "n9"} and core.present == {"n1", "n2"}
    )
    crew.run(SHRINK + 1)
    assert core.numbers == (3, 0, 4)  # n9 was never heard: not there, and not known to have left
