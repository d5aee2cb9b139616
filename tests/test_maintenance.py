"""Plans, the register and the steps of a machine, without I/O; the model checker on the real core."""

import contextlib
import random

import msgspec
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as some
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from brookhub.maintenance import (
    LEAVING,
    OPEN,
    Machine,
    Maintenance,
    Plan,
    Settings,
    UnreadableError,
    fits,
    order,
    pack,
    unpack,
)
from brookhub.maintenance.messages import Offer, Table, Write
from brookhub.maintenance.register import DRIFT, leased
from brookhub.model_checker import PLANTED, Model, search


def plan(machines=6, zones=2, version=1, voters=("n0", "n1", "n2"), **more):
    return Plan(
        version,
        tuple(Machine(f"m{n}", f"z{n % zones}", 1.0 + n % 3, (f"s-{n}",)) for n in range(machines)),
        voters,
        **more,
    )


# the order


@pytest.mark.parametrize("seed", range(10))
def test_the_order_has_every_machine_once_and_is_the_same_however_the_plan_is_listed(seed):
    chance = random.Random(seed)
    machines = [
        Machine(
            f"m{n}",
            f"z{chance.randrange(3)}",
            chance.choice([1.0, 2.0, 4.0]),
            limiter=chance.choice(["", "", f"n{n}"]),
        )
        for n in range(chance.randrange(1, 20))
    ]
    load = {f"z{n}": chance.random() * 100 for n in range(3)}
    down = frozenset(one.name for one in machines if chance.random() < 0.2)
    made = order(Plan(1, tuple(machines), ("n0",)), load, down)
    assert sorted(made, key=str) == sorted(machines, key=str)
    chance.shuffle(machines)
    assert order(Plan(1, tuple(machines), ("n0",)), load, down) == made
    names = [one.name in down for one in made]
    assert names == sorted(names, reverse=True)  # what is down already goes first
    rest = [bool(one.limiter) for one in made if one.name not in down]
    assert rest == sorted(rest)  # limiters' own machines last


def test_zones_take_turns_the_least_loaded_first_and_small_machines_before_large_ones():
    made = order(plan(), {"z0": 50.0, "z1": 1.0}, frozenset())
    assert [one.zone for one in made] == ["z1", "z0"] * 3
    assert [one.capacity for one in made if one.zone == "z1"] == [1.0, 2.0, 3.0]


def test_a_machine_fits_only_within_the_number_its_zone_s_and_the_capacity_that_must_stay():
    one = plan(most_out=2, most_zone=1, capacity_least=0.6)
    assert fits(one, "m0", set()) and fits(one, "m1", {"m0"})
    assert not fits(one, "m2", {"m0"})  # its zone has one out
    assert not fits(one, "m3", {"m0", "m1"})  # two are
    assert not fits(plan(most_out=9, most_zone=9, capacity_least=0.6), "m5", {"m2"})  # 6 of 12 would go
    assert fits(one, "m0", {"m0"})  # already away itself


# what travels


def test_messages_are_read_as_they_were_written_and_anything_else_is_refused():
    message = Write((3, "n1", 7), Table(1, "abc", (("m0", LEAVING), ("m1", OPEN)), 5, "", ("n0", "n1")))
    whole = pack(message)
    assert unpack(whole) == message and len(whole) < 120
    for cut in range(len(whole)):
        with pytest.raises(UnreadableError):
            unpack(whole[:cut])
    chance = random.Random(1)
    for _ in range(3000):
        spoilt = bytearray(whole)
        spoilt[chance.randrange(len(spoilt))] = chance.randrange(256)
        with contextlib.suppress(UnreadableError):
            unpack(bytes(spoilt))


class Alone:
    """The port of one member whose clock the test moves."""

    def __init__(self, peers=()):
        self.at, self.peers, self.out, self.said, self.held, self.gone = 100.0, list(peers), [], [], (), set()

    def now(self):
        return self.at

    def present(self):
        return self.peers

    listed = present

    def send(self, peer, message):
        self.out.append((peer, unpack(pack(message))))

    def up(self, machine):
        return machine.name not in self.gone

    def hold(self, machines):
        self.held = machines

    def quiet(self, machine):
        return True

    def lately(self):
        return (100.0, self.served, self.served * 0.1)

    served = 100.0

    def load(self):
        return {}

    def log(self, event, **facts):
        self.said.append((event, facts))

    def events(self):
        return [event for event, _ in self.said]

    def run(self, core, seconds, step=0.25):
        end = self.at + seconds
        while self.at < end:
            self.at += step
            core.tick()


def test_a_plan_reaches_a_peer_in_pieces_and_a_conflicting_one_is_refused_with_both_digests():
    ports = {name: Alone([other for other in ("n0", "n1") if other != name]) for name in ("n0", "n1")}
    cores = {name: Maintenance(port, name) for name, port in ports.items()}
    large = plan(machines=60, voters=("n0", "n1"))
    assert cores["n0"].give(large) == ""
    for _ in range(8):
        for name, port in ports.items():
            port.run(cores[name], 1.0)
        while any(port.out for port in ports.values()):
            for name, port in ports.items():
                for peer, message in [port.out.pop(0)] if port.out else []:
                    cores[peer].received(name, message)
    assert cores["n1"].plan == large and cores["n1"].digest == large.digest()
    other = plan(machines=59, voters=("n0", "n1"))
    refusal = cores["n1"].give(other)
    assert large.digest() in refusal and other.digest() in refusal
    cores["n0"].received("n1", Offer(1, other.digest()))
    event, facts = ports["n0"].said[-1]
    assert event == "plan refused" and {facts["digest"], facts["held"]} == {large.digest(), other.digest()}
    assert "older" in cores["n0"].give(plan(version=0))
    assert "voters_next" in cores["n0"].give(plan(machines=60, version=2, voters=("n5",)))
    assert cores["n0"].give(plan(machines=60, version=2, voters=("n0", "n1"))) == ""


def test_a_table_that_comes_before_its_plan_is_kept_and_its_machines_are_kept_off_once_the_plan_is_there():
    """Seen on eight processes.

    The steward's word was quicker than the plan, and the limiter that met it logged a fault.
    """
    from brookhub.maintenance.messages import Told

    port = Alone(["n1"])
    core = Maintenance(port, "n7")
    one = plan()
    core.received(
        "n1", Told((2, "n1", 3), Table(1, one.digest(), (("m0", LEAVING),), voters=("n0", "n1", "n2")))
    )
    assert port.held == () and [type(message).__name__ for _, message in port.out] == ["Heard", "Want"]
    assert port.out[0][1].report.quiet == ()  # it can't say so yet
    core.give(one)
    assert port.held == ("m0",)


# the steps, with one voter: all that a majority does is done at once


def begun(**more):
    port = Alone()
    core = Maintenance(port, "n0", Settings(lease=1.0, ends_in=1.0, settle=3.0), knows=True)
    assert (
        core.give(
            plan(voters=("n0",), machines=4, **{"pause_s": 0.0, "fill_s": 2.0, "start_within_s": 6.0, **more})
        )
        == ""
    )
    port.run(core, 3.0)
    return port, core


def out_of(core):
    return dict(core.register.held.outs)


def test_a_machine_is_permitted_safe_gone_back_filled_and_done_and_then_the_next():
    port, core = begun(capacity_least=0.4)
    first = next(iter(out_of(core)))
    assert (
        out_of(core) == {first: OPEN}
        and f"safe to work on {first}" in port.events()
        and port.held == (first,)
    )
    port.run(core, 3.0)
    assert out_of(core) == {first: OPEN}  # it is still there: nobody has started
    port.gone = {first}
    port.run(core, 20.0)
    assert out_of(core) == {first: OPEN}
    port.gone = set()
    port.run(core, 1.0)
    assert port.held == () and "back" in port.events()  # used again, as a cold one
    port.run(core, 4.0)
    assert f"done with {first}" in port.events() and list(out_of(core)) != [first]


def test_what_nobody_starts_on_is_withdrawn_and_asked_for_again():
    port, core = begun(start_within_s=4.0)
    first = next(iter(out_of(core)))
    port.run(core, 4.0)
    assert "withdrawn" in port.events()
    port.run(core, 3.0)
    assert port.events().count(f"safe to work on {first}") == 2


def test_one_that_failed_by_itself_and_came_back_stays_out_as_long_as_somebody_may_yet_start_on_it():
    """Found by random faults.

    Down before it was permitted and up again, it was taken for done while people began on it.
    """
    port, core = begun(start_within_s=6.0)
    first = next(iter(out_of(core)))
    port.gone = {first}
    port.run(core, 1.0)
    port.gone = set()
    port.run(core, 2.0)
    assert out_of(core) == {first: OPEN}
    port.run(core, 5.0)
    assert out_of(core).get(first) != OPEN


def test_a_plan_halts_for_capacity_for_served_share_and_for_long_work_and_goes_on_when_it_is_well_or_told_to():
    port, core = begun(most_out=1, capacity_least=0.5, served_least=0.9, work_most_s=15.0)
    first = next(iter(out_of(core)))
    port.gone = {first}
    port.run(core, 1.0)
    port.gone = {first, *[name for name in ("m2", "m3") if name != first]}  # 5 of 8 are lost
    port.run(core, 1.0)
    assert port.events().count("plan halted") == 1 and "has to stay" in core.register.held.halted
    port.gone = {first}
    port.run(core, 4.0)
    assert core.register.held.halted == "" and "plan goes on" in port.events()
    port.served = 80.0
    port.run(core, 1.0)
    assert "0.800 of the calls are served, 0.9 is the least" in core.register.held.halted
    port.served = 100.0
    core.give(msgspec.structs.replace(core.plan, version=2, resume=1))
    port.run(core, 1.5)
    assert core.register.held.halted == "" and core.register.held.version == 2
    port.run(core, 10.0)
    assert "work takes long" in port.events() and "longer than the plan allows" in core.register.held.halted


def test_one_that_is_only_leaving_is_brought_back_when_the_plan_halts():
    port, core = begun()
    port.quiet = lambda machine: False
    port.run(core, 6.0)
    first = next(iter(out_of(core)))
    while out_of(core).get(first) != LEAVING:
        port.gone = {first} if out_of(core).get(first) == OPEN and not port.gone else set()
        port.run(core, 1.0)
        first = next(iter(out_of(core)), first)
    held = first
    port.gone = {name for name in ("m0", "m1", "m2", "m3") if name != held}
    port.run(core, 1.0)
    assert out_of(core) == {} and port.held == () and "brought back" in port.events()


def test_one_that_is_there_and_silent_counts_out_after_a_lease_and_the_longest_timeout_and_one_that_is_gone_sooner():
    """Seen on processes.

    One voter's sends were dropped, and the machine stayed leaving for as long as they were.
    """
    for there, waits in ((True, 1.0 + 1.2), (False, 1.2)):
        port, core = begun()
        port.peers = ["n9"]
        core.tick()
        first = next(iter(out_of(core)))
        port.gone = {first}
        port.run(core, 1.0)
        port.gone = set()
        while not any(step == LEAVING for step in out_of(core).values()):
            port.run(core, 0.25)
        began = port.at
        port.listed = lambda: ["n9"]
        port.peers = ["n9"] if there else []
        while any(step == LEAVING for step in out_of(core).values()):
            port.run(core, 0.25)
            assert port.at < began + 10.0
        assert waits - 0.5 <= port.at - began <= waits + 1.0, (there, port.at - began)


def test_a_plan_that_is_done_lets_its_lease_run_out_and_writes_no_more():
    port, core = begun(fill_s=0.0, start_within_s=2.0)
    for _ in range(4):
        name = next(iter(out_of(core)))
        port.gone = {name}
        port.run(core, 3.0)
        port.gone = set()
        port.run(core, 1.5)
    assert core.finished(core.register.table) and "steward no more" in port.events()
    mark = core.register.mark
    port.run(core, 30.0)
    assert core.register.mark == mark


# the register


def test_a_lease_ends_at_the_voter_after_the_leader_s_whatever_the_two_clocks_do():
    for leader in (1 - DRIFT, 1 + DRIFT):
        for voter in (1 - DRIFT, 1 + DRIFT):
            # True s: rate of a clock times true time is what it shows
            assert leased(3.0) / voter >= 3.0 / leader - 1e-9


def test_one_that_starts_with_nothing_abstains_for_a_lease_and_until_it_has_read_a_majority():
    port = Alone(["n1", "n2", "n3", "n4"])
    core = Maintenance(port, "n0", Settings(lease=1.0, offer=0.0))
    core.give(plan(voters=("n0", "n1", "n2", "n3", "n4")))
    register, table = core.register, Table(1, core.digest, (("m3", OPEN),))
    port.run(core, 0.75)
    assert not port.out  # within the lease it does not even ask
    core.received("n1", Write((4, "n1", 2), table))
    assert register.abstains and not any(type(message).__name__ == "Wrote" for _, message in port.out)
    port.run(core, 1.0)
    asked = [message.number for _, message in port.out if type(message).__name__ == "Read"]
    assert asked
    from brookhub.maintenance.messages import State

    for peer, abstains in (("n1", False), ("n2", False), ("n3", True)):
        core.received(peer, State(asked[-1], abstains, (4, "n1"), (4, "n1", 2), table, True))
    assert register.abstains  # two that remember are no majority of five
    core.received("n4", State(asked[-1], False, (4, "n1"), (4, "n1", 3), table, True))
    assert not register.abstains and register.table.step("m3") == OPEN and register.until > port.at


def test_who_has_no_vote_reads_nothing():
    """Seen in a profile: 200 limiters each asked all others, 40,000 words for what five need to know."""
    port = Alone([f"n{n}" for n in range(8)])
    core = Maintenance(port, "n9", Settings(lease=1.0, offer=0.0))
    core.give(plan())
    port.run(core, 10.0)
    assert not port.out


def pass_time(ports, cores, cut=()):
    """A quarter of a second for all, and their words but those on links that are cut (from, to)."""
    for name, port in ports.items():
        port.run(cores[name], 0.25)
    for _ in range(6):
        for name, port in ports.items():
            out, port.out = port.out, []
            for peer, message in out:
                if (name, peer) not in cut:
                    cores[peer].received(name, message)


def test_where_all_forgot_everything_they_wait_until_no_permission_to_start_can_be_left():
    ports = {f"n{n}": Alone([f"n{m}" for m in range(3) if m != n]) for n in range(3)}
    cores = {name: Maintenance(port, name, Settings(lease=1.0, offer=0.0)) for name, port in ports.items()}
    for core in cores.values():
        core.give(plan(start_within_s=5.0))
    for step in range(80):
        pass_time(ports, cores)
        if step * 0.25 < 4.5:
            assert all(core.register.abstains for core in cores.values())
    assert any(core.register.table.outs for core in cores.values())


@pytest.mark.parametrize(
    "cut", [{("n0", "n1"), ("n0", "n2")}, {("n1", "n0"), ("n2", "n0")}, {("n1", "n0"), ("n0", "n2")}]
)
def test_voters_that_remember_nothing_hear_each_other_by_a_third_where_a_link_is_cut_one_way(cut):
    """Seen on processes, where it held a plan up for as long as the cut lasted.

    Two new voters waited for the third, whose answers did not reach them.
    """
    names = [f"n{n}" for n in range(4)]  # n3 has no vote
    ports = {name: Alone([other for other in names if other != name]) for name in names}
    cores = {name: Maintenance(port, name, Settings(lease=1.0, offer=0.0)) for name, port in ports.items()}
    for core in cores.values():
        core.give(plan(start_within_s=2.0))
    for _ in range(100):
        pass_time(ports, cores, cut)
    assert any(core.register.table.outs for core in cores.values())
    assert cores["n3"].told.outs  # and those without a vote were told


# the checker


@pytest.mark.parametrize(
    "voters, most, joins, states",
    [(3, 1, False, 5000), (3, 2, False, 4000), (5, 1, False, 2000), (4, 1, True, 2000)],
)
def test_the_checker_finds_nothing_wrong_and_from_what_it_saw_every_plan_ends(voters, most, joins, states):
    model = Model(voters, most, machines=1 + most, joins=joins, rounds=True)
    found = search(model, deviations=2, depth=30, states=states, seconds=15.0, sample=states // 8)
    assert not found.broken, (found.broken, found.trail)
    assert found.states > 500 and found.ends
    assert [model.ends(state) for state in found.ends[:6]] == [""] * len(found.ends[:6])


def test_the_checker_finds_no_two_machines_of_a_zone_out_where_one_is_the_most():
    model = Model(3, 2, machines=4, zone_most=1, zones=2, rounds=True)
    found = search(model, deviations=2, depth=30, states=3000, seconds=15.0, sample=400)
    assert not found.broken and found.states > 500
    assert [model.ends(state) for state in found.ends[:4]] == [""] * len(found.ends[:4])
    # And it would be found: limiters with other zones
    loose = Model(3, 2, machines=4, zone_most=1, zones=2, rounds=True)
    for core in loose.cores:
        core.plan = msgspec.structs.replace(
            core.plan,
            machines=tuple(
                msgspec.structs.replace(one, zone="prqs"[number])
                for number, one in enumerate(core.plan.machines)
            ),
        )
    assert "zone" in search(loose, deviations=0, depth=30, states=500, seconds=15.0).broken


def test_the_checker_goes_message_by_message_too():
    found = search(Model(3, 1, 2), deviations=1, depth=60, states=6000, seconds=15.0)
    assert not found.broken and found.states > 1000


@pytest.mark.parametrize(
    "planted, model, text",
    [
        (
            "no look at the lease",
            dict(voters=3, most=1, machines=2, rounds=True, faults={"stall": 1}),
            "two hold the permit",
        ),
        (
            "counted votes",
            dict(
                voters=3,
                most=2,
                machines=3,
                rounds=True,
                one_permit=False,
                blind=True,
                faults={"hold": 1, "mute": 1},
            ),
            "3 machines out",
        ),
        (
            "no abstaining",
            dict(
                voters=3,
                most=1,
                machines=2,
                rounds=True,
                apart="n2",
                blind=True,
                work_s=9,
                one_permit=False,
                faults={"crash": 2},
            ),
            "2 machines out",
        ),
    ],
)
def test_the_checker_finds_each_planted_fault(planted, model, text):
    found = search(Model(register=PLANTED[planted], **model), deviations=2, depth=26, seconds=45.0)
    assert text in found.broken and 5 < len(found.trail) < 30
    replay = Model(register=PLANTED[planted], **model)
    state = replay.start()
    for action in found.trail:
        assert not replay.broken(state)
        state = replay.after(state, action)
    assert text in replay.broken(state)
    sound = Model(**model)  # the same faults at the same steps harm the real one not
    state = sound.start()
    for action in found.trail:
        if action[0] not in ("round", "tick") and action not in [one for one, _ in sound.others(state)]:
            continue
        state = sound.after(state, action)
        assert not sound.broken(state)


class Plans(RuleBasedStateMachine):
    """Random trails over the same model, longer and with more faults than the search reaches."""

    def __init__(self):
        super().__init__()
        self.model = Model(
            3,
            1,
            3,
            rounds=True,
            faults={"crash": 2, "stall": 3, "cut": 3, "mute": 3, "hold": 5, "double": 3, "slow": 3},
        )
        self.state = self.model.start()

    @rule(rounds=some.integers(1, 4))
    def on(self, rounds):
        for _ in range(rounds):
            self.state = self.model.after(self.state, self.model.plain(self.state))
            assert not self.model.broken(self.state)

    @rule(which=some.integers(0, 50))
    def fault(self, which):
        others = [one for one, _ in self.model.others(self.state)]
        if others:
            self.state = self.model.after(self.state, others[which % len(others)])

    @invariant()
    def nothing_broken(self):
        assert not self.model.broken(self.state)


TestPlans = Plans.TestCase
TestPlans.settings = settings(
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
