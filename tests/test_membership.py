"""Membership without I/O, in simulated time.

Each hard case is caused; the invariants of the counts are checked at every step of seeded random runs. On
processes: tests/test_fleet_processes.py. The wire format: tests/test_membership_messages.py.
"""

import random

import pytest

from brookhub.emulator.peers import Crew
from brookhub.membership import (
    MAX_DATAGRAM_BYTES,
    PRESENT_STATES,
    SHRINK_DELAY,
    DropReason,
    MemberState,
    MemberUpdate,
    MessageKind,
    Statistics,
)
from brookhub.membership.awareness import STALL_RECOVERY_TIME
from test_membership_messages import valid_message


def views(crew: Crew) -> dict[str, set[str]]:
    """The peers that each living member sees as present."""
    return {name: seat.core.present for name, seat in crew.seats.items() if seat.alive}


def test_false_messages_of_a_listed_peer_are_dropped_and_use_bounded_memory() -> None:
    crew = Crew(4, 1)
    crew.run(2)
    core = crew.seats["n0"].core
    core.on_message("n1", valid_message(source="n2"))  # the address of n1, the name of n2
    assert core.statistics.dropped[DropReason.WRONG_SOURCE] == 1
    for number in range(2000):
        unlisted = MemberUpdate(f"x{number}", MemberState.ALIVE, 0, "")
        core.on_message("n1", valid_message(kind=MessageKind.GOSSIP, updates=[unlisted]))
        ping_req = valid_message(kind=MessageKind.PING_REQ, subject="n3", number=number, updates=[])
        core.on_message("n1", ping_req)
    assert core.statistics.dropped[DropReason.UNLISTED_MEMBER] == 2000
    assert len(core.members) == 3
    assert len(core.broadcasts) <= 4
    assert len(core.indirect_probes) <= 4 * 3 + 17
    crew.run(5)
    assert crew.agree() and len(core.indirect_probes) == 0


@pytest.mark.parametrize("count, seed", [(4, 1), (8, 2), (40, 3)])
def test_cold_started_fleet_agrees_within_four_seconds(count: int, seed: int) -> None:
    crew = Crew(count, seed, warm=False)
    crew.run(4)
    assert crew.agree() and crew.observed == 0


@pytest.mark.parametrize("count, seed", [(4, 1), (8, 2), (40, 3), (200, 4)])
def test_death_is_known_to_all_within_three_seconds_and_planned_leave_within_one(
    count: int, seed: int
) -> None:
    crew = Crew(count, seed)
    crew.run(3)
    killed, left = crew.names[1], crew.names[2]
    began = crew.engine.now
    crew.seats[killed].kill()
    crew.run(8)
    assert len(crew.deaths[killed]) == count - 1 and max(crew.deaths[killed].values()) - began < (
        3.0 if count > 4 else 4.5
    )
    crew.seats[left].core.leave()
    crew.run(0.01)
    crew.seats[left].kill()
    crew.run(1.5)
    assert {seat.core.members[left].state for seat in crew.seats.values() if seat.alive} == {MemberState.LEFT}


def test_restarted_member_with_a_lower_incarnation_refutes_its_death_and_its_leave() -> None:
    crew = Crew(6, 1)
    crew.run(2)
    for end in ("killed", "left"):
        restarting = crew.seats["n3"].core
        restarting.local.incarnation += 5
        restarting.gossip.broadcast(MemberUpdate("n3", MemberState.ALIVE, restarting.local.incarnation, ""))
        crew.run(2)
        if end == "left":
            crew.seats["n3"].core.leave()
            crew.run(0.01)
        crew.seats["n3"].kill()
        crew.run(6)
        assert not any("n3" in present for present in views(crew).values())
        back = crew.launch("n3")
        assert back.core.local.incarnation == 0
        crew.run(4)
        assert crew.agree() and back.core.local.incarnation >= 6


def test_ten_percent_loss_duplication_and_reordering_cause_no_false_death() -> None:
    for seed in (1, 2, 3):
        crew = Crew(40, seed)
        crew.net.loss = crew.net.doubled = crew.net.reordered = 0.1
        crew.run(60)
        assert crew.observed == 0 and crew.agree()


def test_one_way_link_failure_causes_no_death_while_others_reach_the_member() -> None:
    crew = Crew(8, 1)
    crew.net.apart = lambda a, b: (a, b) == ("n1", "n2")
    crew.run(30)
    assert crew.observed == 0 and crew.agree()


def test_member_that_receives_nothing_is_declared_dead_and_rejoins_once_it_receives() -> None:
    crew = Crew(8, 1)
    crew.net.apart = lambda a, b: b == "n1"  # it sends; nothing reaches it
    crew.run(8)
    assert all("n1" not in present for name, present in views(crew).items() if name != "n1")
    crew.net.apart = None
    crew.run(5)
    assert crew.agree()


@pytest.mark.parametrize("lifeguard", [True, False])
def test_member_stopped_for_five_seconds_does_not_declare_others_dead(lifeguard: bool) -> None:
    """In plain SWIM the suspicions that it had when it stopped end in deaths."""
    runs_with_deaths = 0
    for seed in range(6):
        crew = Crew(8, seed, protocol="lifeguard" if lifeguard else "swim")
        crew.net.loss = 0.1
        crew.run(3)
        stopped = crew.seats["n5"].core
        incarnation = max(0, stopped.members["n2"].incarnation)
        suspicion = MemberUpdate("n2", MemberState.SUSPECT, incarnation, "n5")
        stopped.update_handler.apply_update(suspicion)  # just before it stops
        crew.stall("n5", 5.0)
        crew.run(5.05)
        runs_with_deaths += any("n5" in observers for observers in crew.deaths.values())
        crew.run(6)
        assert crew.agree()
    assert runs_with_deaths == 0 if lifeguard else runs_with_deaths > 0
    assert not lifeguard or stopped.statistics.stalls == 1


def test_fleet_agrees_after_half_was_killed_and_after_all_restarted() -> None:
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
def test_partitioned_halves_merge_within_five_seconds(count: int) -> None:
    crew = Crew(count, 1)
    crew.run(2)
    side = set(crew.names[: count // 2])
    crew.net.apart = lambda a, b: (a in side) != (b in side)
    crew.run(20)
    assert all(
        present == (side if name in side else set(crew.names) - side) - {name}
        for name, present in views(crew).items()
    )
    assert {seat.core.counts.possible for seat in crew.seats.values()} == {count}  # neither side left
    assert {seat.core.counts.live for seat in crew.seats.values()} == {len(side)}
    crew.net.apart = None
    crew.run(5)
    assert crew.agree() and {seat.core.counts.live for seat in crew.seats.values()} == {count}


def test_flapping_link_does_not_change_the_reported_counts() -> None:
    crew, reported = Crew(6, 1), []
    crew.seats["n0"].on_told = lambda *numbers: reported.append(numbers)
    crew.run(1)
    for flap in range(20):  # cut for longer than a death takes, healed for less than SHRINK_DELAY
        crew.net.apart = (lambda a, b: "n4" in (a, b)) if flap % 2 == 0 else None
        crew.run(SHRINK_DELAY - 1.5)
    assert all(live == 6 and possible == 6 for live, _, possible in reported)


def test_growth_is_counted_at_once_and_shrinking_after_the_delay() -> None:
    crew, reported = Crew(5, 1), []
    crew.seats["n0"].on_told = lambda *numbers: reported.append((crew.engine.now, *numbers))
    crew.run(SHRINK_DELAY + 1)
    crew.seats["n3"].core.leave()
    crew.run(0.01)
    crew.seats["n3"].kill()
    began = crew.engine.now
    crew.run(SHRINK_DELAY + 1)
    reported_at, live, rank, possible = reported[-1]
    assert (live, rank, possible) == (4, 0, 4) and abs(reported_at - began - SHRINK_DELAY) < 0.5
    crew.launch("n3")
    began = crew.engine.now
    crew.run(2)
    assert reported[-1][1:] == (5, 0, 5) and reported[-1][0] - began < 1.0
    crew.seats["n3"].kill()  # dead, not left: it no longer counts as live, but still as possible
    crew.run(SHRINK_DELAY + 6)
    assert reported[-1][1:] == (4, 0, 5)


@pytest.mark.parametrize("seed", range(8))
def test_counts_are_right_at_every_step_of_a_random_run_and_shares_never_sum_above_one(seed: int) -> None:
    """Joint quotas are divided by `possible`.

    The shares of all running members then add up to one at most, whatever their views, unless a member that
    left comes back (docs/membership.md states the bound for that).
    """
    chance = random.Random(seed)
    crew = Crew(12, seed, warm=chance.random() < 0.5)
    crew.net.loss = 0.05
    for _step in range(60):
        living = [name for name, seat in crew.seats.items() if seat.alive]
        event = chance.random()
        if event < 0.15 and len(living) > 3:
            crew.seats[chance.choice(living)].kill()
        elif event < 0.4 and len(living) < 12:
            crew.launch(chance.choice(sorted(set(crew.names) - set(living))))
        elif event < 0.5:
            side = set(chance.sample(crew.names, 6))
            crew.net.apart = lambda a, b, side=side: (a in side) != (b in side)
        elif event < 0.7:
            crew.net.apart = None
        elif event < 0.8:
            crew.stall(chance.choice(living), 3.0)
        crew.run(chance.random() * 2)
        total = 0.0
        for name, seat in crew.seats.items():
            core = seat.core
            if seat.alive:
                live, rank, possible = core.counts
                counted = [member.name for member in core.members.values() if member.counted_live]
                assert core.present <= set(counted)
                assert (live, rank) == (1 + len(counted), sum(other < name for other in counted))
                assert possible == 1 + sum(member.counted_possible for member in core.members.values())
                assert live <= possible <= 12
                assert all(
                    (member.state in PRESENT_STATES) == (member.name in core.present)
                    for member in core.members.values()
                )
                total += 1.0 / possible
        assert total <= 1.0 + 1e-9
    crew.net.apart, crew.net.loss = None, 0.0
    crew.run(12)
    assert crew.agree()


def test_left_member_that_returns_in_a_partition_exceeds_the_sum_by_no_more_than_the_bound() -> None:
    """The only case in which `possible` can be too small.

    A member left, all know, and it runs again on the far side of a partition.
    """
    crew = Crew(8, 1)
    crew.run(1)
    crew.seats["n7"].core.leave()
    crew.run(0.01)
    crew.seats["n7"].kill()
    crew.run(SHRINK_DELAY + 2)
    side = {"n0", "n1", "n2", "n3"}
    crew.net.apart = lambda a, b: (a in side) != (b in side)
    crew.launch("n7")
    crew.run(5)
    possible_counts = {name: seat.core.counts.possible for name, seat in crew.seats.items() if seat.alive}
    assert {possible_counts[name] for name in side} == {7}
    assert {possible_counts[name] for name in set(possible_counts) - side} == {8}
    assert 1.0 < sum(1 / possible for possible in possible_counts.values()) <= 1 + 1 / (8 - 1)


def test_datagrams_fit_and_traffic_per_member_stays_flat_as_the_fleet_grows() -> None:
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
        assert max(largest) <= MAX_DATAGRAM_BYTES
        quiet = Crew(count, 2)
        quiet.run(10)
        rates[count] = quiet.sent()[1] / count / 10
    assert max(rates.values()) < 2000 and rates[200] < 1.5 * rates[8]


def test_same_seed_repeats_the_run() -> None:
    def run(seed: int) -> list[tuple[str, Statistics, list[str]]]:
        crew = Crew(10, seed)
        crew.net.loss = 0.2
        crew.run(10)
        return [(name, seat.core.statistics, sorted(seat.core.present)) for name, seat in crew.seats.items()]

    assert run(1) == run(1) != run(2)


def test_unknown_members_are_listed_but_count_as_live_only_until_the_shrink_delay() -> None:
    crew = Crew(5, 1)
    for name in ("n3", "n4"):
        crew.seats[name].kill()
    crew.seats["n0"].kill()
    restarted = crew.launch("n0")
    assert restarted.core.counts == (5, 0, 5)
    crew.run(SHRINK_DELAY + 0.1)
    assert {restarted.core.members[name].state for name in ("n3", "n4")} <= {
        MemberState.UNKNOWN,
        MemberState.DEAD,
        MemberState.SUSPECT,
    }
    crew.run(SHRINK_DELAY + STALL_RECOVERY_TIME)
    assert restarted.core.counts == (3, 0, 5)


def test_updated_peer_list_removes_members_at_once() -> None:
    crew = Crew(5, 1)
    crew.run(2)
    core = crew.seats["n0"].core
    core.update_peers(["n1", "n2", "n9"])
    assert core.counts == (4, 0, 4)
    assert set(core.members) == {"n1", "n2", "n9"}
    assert core.present == {"n1", "n2"}
    crew.run(SHRINK_DELAY + 1)
    assert core.counts == (3, 0, 4)  # nothing was received of n9: it counts as possible, not as live
