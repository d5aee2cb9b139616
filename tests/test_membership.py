"""Membership's core without I/O, in simulated time.

Each hard case is caused, the rules of its numbers are checked at every step of seeded random runs. On
processes: tests/test_fleet_processes.py.
"""

import contextlib
import random

import pytest

from brookhub.emulator.peers import FLEET, MemberCluster
from brookhub.membership import ALIVE, DEAD, LARGEST, LEFT, SUSPECT, UNHEARD, UnreadableError, decode
from brookhub.membership.core import GROGGY, SHRINK
from brookhub.membership.messages import MOST_NEWS, NEWS, PING, VERSION, Message, _encoder, encode


def views(cluster):
    return {name: member.core.present for name, member in cluster.members.items() if member.is_alive}


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
    cluster = MemberCluster(4, 1)
    cluster.run(2)
    core = cluster.members["n0"].core
    core.received("n1", message(source="n2"))  # the address of one, the name of another
    assert core.counts["foreign"] == 1
    for number in range(2000):
        core.received("n1", message(news=[(f"x{number}", ALIVE, 0, "")], kind=NEWS))
        core.received("n1", message(kind=2, about="n3", number=number, news=[]))  # asks to have n3 probed
    assert core.counts["unlisted-member"] == 2000 and len(core.members) == 3 and len(core.news) <= 4
    assert len(core.asked) <= 4 * 3 + 17
    cluster.run(5)
    assert cluster.has_converged() and not core.asked


# who is there


@pytest.mark.parametrize("count, seed", [(4, 1), (8, 2), (40, 3)])
def test_a_fleet_that_starts_from_nothing_finds_itself(count, seed):
    cluster = MemberCluster(count, seed, warm=False)
    cluster.run(4)
    assert cluster.has_converged() and cluster.observed_false_deaths == 0


@pytest.mark.parametrize("count, seed", [(4, 1), (8, 2), (40, 3), (200, 4)])
def test_a_death_is_known_to_all_within_three_seconds_and_a_planned_end_within_one(count, seed):
    cluster = MemberCluster(count, seed)
    cluster.run(3)
    gone, ended = cluster.names[1], cluster.names[2]
    began = cluster.engine.now
    cluster.members[gone].kill()
    cluster.run(8)
    assert len(cluster.deaths[gone]) == count - 1 and max(cluster.deaths[gone].values()) - began < (
        3.0 if count > 4 else 4.5
    )
    cluster.members[ended].core.leave()
    cluster.run(0.01)
    cluster.members[ended].kill()
    cluster.run(1.5)
    assert {member.core.members[ended].state for member in cluster.members.values() if member.is_alive} == {
        LEFT
    }


def test_a_restarted_member_with_a_lower_incarnation_refutes_its_own_death_and_its_own_planned_end():
    cluster = MemberCluster(6, 1)
    cluster.run(2)
    for end in ("killed", "left"):
        cluster.members["n3"].core.incarnation += 5
        cluster.members["n3"].core.tell("n3", ALIVE, cluster.members["n3"].core.incarnation)
        cluster.run(2)
        if end == "left":
            cluster.members["n3"].core.leave()
            cluster.run(0.01)
        cluster.members["n3"].kill()
        cluster.run(6)
        assert not any("n3" in held for held in views(cluster).values())
        back = cluster.launch("n3")
        assert back.core.incarnation == 0
        cluster.run(4)
        assert cluster.has_converged() and back.core.incarnation >= 6


def test_ten_percent_lost_doubled_and_reordered_make_no_false_death():
    for seed in (1, 2, 3):
        cluster = MemberCluster(40, seed)
        cluster.network.loss = cluster.network.duplicated = cluster.network.reordered = 0.1
        cluster.run(60)
        assert cluster.observed_false_deaths == 0 and cluster.has_converged()


def test_a_link_dropped_one_way_takes_nobody_out_as_others_reach_it():
    cluster = MemberCluster(8, 1)
    cluster.network.is_blocked = lambda a, b: (a, b) == ("n1", "n2")
    cluster.run(30)
    assert cluster.observed_false_deaths == 0 and cluster.has_converged()


def test_a_member_that_hears_nobody_is_taken_for_dead_and_comes_back_when_it_hears():
    cluster = MemberCluster(8, 1)
    cluster.network.is_blocked = lambda a, b: b == "n1"  # it sends; nothing reaches it
    cluster.run(8)
    assert all("n1" not in held for name, held in views(cluster).items() if name != "n1")
    cluster.network.is_blocked = None
    cluster.run(5)
    assert cluster.has_converged()


@pytest.mark.parametrize("lifeguard", [True, False])
def test_a_member_stopped_for_five_seconds_does_not_declare_others_dead(lifeguard):
    """Without its doubt of itself (plain SWIM) the suspicions that it held when it stopped end in deaths."""
    wrong = 0
    for seed in range(6):
        cluster = MemberCluster(8, seed, protocol="lifeguard" if lifeguard else "swim")
        cluster.network.loss = 0.1
        cluster.run(3)
        sleeper = cluster.members["n5"].core
        sleeper.hear("n2", SUSPECT, max(0, sleeper.members["n2"].incarnation), "n5")  # just before it stops
        cluster.suspend("n5", 5.0)
        cluster.run(5.05)
        wrong += any("n5" in who for who in cluster.deaths.values())
        cluster.run(6)
        assert cluster.has_converged()
    assert wrong == 0 if lifeguard else wrong > 0
    assert not lifeguard or sleeper.counts["slept"] == 1


def test_half_killed_at_once_and_all_restarted_together():
    cluster = MemberCluster(16, 1)
    cluster.run(2)
    for name in cluster.names[:8]:
        cluster.members[name].kill()
    cluster.run(12)
    assert cluster.has_converged()
    for name in cluster.names[:8]:
        cluster.launch(name)
    cluster.run(5)
    assert cluster.has_converged()
    for name in cluster.names:
        cluster.members[name].kill()
    for name in cluster.names:
        cluster.launch(name)
    cluster.run(5)
    assert cluster.has_converged()


@pytest.mark.parametrize("count", [8, 40, 200])
def test_two_sides_of_a_split_find_each_other_within_five_seconds(count):
    cluster = MemberCluster(count, 1)
    cluster.run(2)
    side = set(cluster.names[: count // 2])
    cluster.network.is_blocked = lambda a, b: (a in side) != (b in side)
    cluster.run(20)
    assert all(
        held == (side if name in side else set(cluster.names) - side) - {name}
        for name, held in views(cluster).items()
    )
    assert {member.core.numbers[2] for member in cluster.members.values()} == {
        count
    }  # both sides are still there
    assert {member.core.numbers[0] for member in cluster.members.values()} == {len(side)}
    cluster.network.is_blocked = None
    cluster.run(5)
    assert cluster.has_converged() and {member.core.numbers[0] for member in cluster.members.values()} == {
        count
    }


def test_a_flapping_link_leaves_the_told_number_where_it_was():
    cluster, told = MemberCluster(6, 1), []
    cluster.members["n0"].on_fleet_size_changed = lambda *numbers: told.append(numbers)
    cluster.run(1)
    for flap in range(20):  # cut for longer than a death takes, healed for less than SHRINK
        cluster.network.is_blocked = (lambda a, b: "n4" in (a, b)) if flap % 2 == 0 else None
        cluster.run(SHRINK - 1.5)
    assert all(live == 6 and sure == 6 for live, _, sure in told)


def test_growth_counts_at_once_and_shrinking_late():
    cluster, told = MemberCluster(5, 1), []
    cluster.members["n0"].on_fleet_size_changed = lambda *numbers: told.append((cluster.engine.now, *numbers))
    cluster.run(SHRINK + 1)
    cluster.members["n3"].core.leave()
    cluster.run(0.01)
    cluster.members["n3"].kill()
    began = cluster.engine.now
    cluster.run(SHRINK + 1)
    when, live, rank, sure = told[-1]
    assert (live, rank, sure) == (4, 0, 4) and abs(when - began - SHRINK) < 0.5
    cluster.launch("n3")
    began = cluster.engine.now
    cluster.run(2)
    assert told[-1][1:] == (5, 0, 5) and told[-1][0] - began < 1.0
    cluster.members["n3"].kill()  # a death is no leaving: it goes from the living, never from the sure
    cluster.run(SHRINK + 6)
    assert told[-1][1:] == (4, 0, 5)


@pytest.mark.parametrize("seed", range(8))
def test_numbers_are_right_at_every_step_of_a_random_run_and_the_parts_of_all_never_pass_one(seed):
    """Joint parts are divided by `sure`.

    With it the parts of all that run add up to one at most, whatever views they have, while nobody that left
    comes back (docs/membership.md states the bound for that).
    """
    chance = random.Random(seed)
    cluster = MemberCluster(12, seed, warm=chance.random() < 0.5)
    cluster.network.loss = 0.05
    for _step in range(60):
        living = [name for name, member in cluster.members.items() if member.is_alive]
        what = chance.random()
        if what < 0.15 and len(living) > 3:
            cluster.members[chance.choice(living)].kill()
        elif what < 0.4 and len(living) < 12:
            cluster.launch(chance.choice(sorted(set(cluster.names) - set(living))))
        elif what < 0.5:
            side = set(chance.sample(cluster.names, 6))
            cluster.network.is_blocked = lambda a, b, side=side: (a in side) != (b in side)
        elif what < 0.7:
            cluster.network.is_blocked = None
        elif what < 0.8:
            cluster.suspend(chance.choice(living), 3.0)
        cluster.run(chance.random() * 2)
        total = 0.0
        for name, member in cluster.members.items():
            core = member.core
            if member.is_alive:
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
    cluster.network.is_blocked, cluster.network.loss = None, 0.0
    cluster.run(12)
    assert cluster.has_converged()


def test_a_left_member_that_returns_unheard_passes_one_by_no_more_than_the_bound():
    """The one way in which `sure` can be too small.

    It left, all know, and it runs again on the far side of a split.
    """
    cluster = MemberCluster(8, 1)
    cluster.run(1)
    cluster.members["n7"].core.leave()
    cluster.run(0.01)
    cluster.members["n7"].kill()
    cluster.run(SHRINK + 2)
    side = {"n0", "n1", "n2", "n3"}
    cluster.network.is_blocked = lambda a, b: (a in side) != (b in side)
    cluster.launch("n7")
    cluster.run(5)
    sures = {name: member.core.numbers[2] for name, member in cluster.members.items() if member.is_alive}
    assert {sures[name] for name in side} == {7} and {sures[name] for name in set(sures) - side} == {8}
    assert 1.0 < sum(1 / sure for sure in sures.values()) <= 1 + 1 / (8 - 1)


def test_all_packets_fit_and_what_a_member_sends_is_flat_as_the_fleet_grows():
    rates = {}
    for count in (8, 40, 200):
        cluster = MemberCluster(count, 1)
        send, largest = cluster.network.send, []
        cluster.network.send = lambda source, peer, data, send=send, largest=largest: (
            largest.append(len(data)),
            send(source, peer, data),
        )
        cluster.run(1)
        side = set(cluster.names[: count // 2])
        cluster.network.is_blocked = lambda a, b, side=side: (a in side) != (b in side)
        cluster.run(5)
        cluster.network.is_blocked = None
        cluster.run(2)
        assert max(largest) <= LARGEST
        quiet = MemberCluster(count, 2)
        quiet.run(10)
        rates[count] = quiet.traffic().bytes / count / 10
    assert max(rates.values()) < 2000 and rates[200] < 1.5 * rates[8]


def test_one_seed_makes_the_same_run():
    def trail(seed):
        cluster = MemberCluster(10, seed)
        cluster.network.loss = 0.2
        cluster.run(10)
        return [
            (name, dict(member.core.counts), sorted(member.core.present))
            for name, member in cluster.members.items()
        ]

    assert trail(1) == trail(1) != trail(2)


def test_unheard_members_are_listed_yet_count_for_the_living_only_until_shrink():
    cluster = MemberCluster(5, 1)
    for name in ("n3", "n4"):
        cluster.members[name].kill()
    cluster.members["n0"].kill()
    fresh = cluster.launch("n0")
    assert fresh.core.numbers == (5, 0, 5)
    cluster.run(SHRINK + 0.1)
    assert {fresh.core.members[name].state for name in ("n3", "n4")} <= {UNHEARD, DEAD, SUSPECT}
    cluster.run(SHRINK + GROGGY)
    assert fresh.core.numbers == (3, 0, 5)


def test_a_list_read_again_takes_members_out_at_once():
    cluster = MemberCluster(5, 1)
    cluster.run(2)
    core = cluster.members["n0"].core
    core.relist(["n1", "n2", "n9"])
    assert (
        core.numbers == (4, 0, 4) and set(core.members) == {"n1", "n2", "n9"} and core.present == {"n1", "n2"}
    )
    cluster.run(SHRINK + 1)
    assert core.numbers == (3, 0, 4)  # n9 was never heard: not there, and not known to have left
