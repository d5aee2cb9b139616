"""Plans, the register and the steps of a machine, without I/O; the model checker on the real core."""

import contextlib
import random

import msgspec
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as some
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from brookhub.maintenance import (
    Machine,
    Maintenance,
    Phase,
    Plan,
    PlanProgress,
    PlanRejectedError,
    Settings,
    TrafficSample,
    UnreadableError,
    maintenance_order,
    may_go_out,
    pack,
    unpack,
)
from brookhub.maintenance.messages import (
    Accept,
    Accepted,
    Ballot,
    ChunkRequest,
    Commit,
    CommitAck,
    FetchReply,
    FetchRequest,
    MachineOut,
    PlanAnnouncement,
    Revision,
)
from brookhub.maintenance.plan import AdoptedPlan
from brookhub.maintenance.settings import CLOCK_DRIFT, voter_lease_s
from brookhub.model_checker import PLANTED, ActionKind, Fault, Model, ModelSettings, SearchLimits, search


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
    made = maintenance_order(Plan(1, tuple(machines), ("n0",)), load, down)
    assert sorted(made, key=str) == sorted(machines, key=str)
    chance.shuffle(machines)
    assert maintenance_order(Plan(1, tuple(machines), ("n0",)), load, down) == made
    names = [one.name in down for one in made]
    assert names == sorted(names, reverse=True)  # what is down already goes first
    rest = [bool(one.limiter) for one in made if one.name not in down]
    assert rest == sorted(rest)  # limiters' own machines last


def test_zones_take_turns_the_least_loaded_first_and_small_machines_before_large_ones():
    made = maintenance_order(plan(), {"z0": 50.0, "z1": 1.0}, frozenset())
    assert [one.zone for one in made] == ["z1", "z0"] * 3
    assert [one.capacity for one in made if one.zone == "z1"] == [1.0, 2.0, 3.0]


def test_a_machine_fits_only_within_the_number_its_zone_s_and_the_capacity_that_must_stay():
    one = plan(max_out=2, max_out_per_zone=1, min_capacity_share=0.6)
    assert may_go_out(one, "m0", set()) and may_go_out(one, "m1", {"m0"})
    assert not may_go_out(one, "m2", {"m0"})  # its zone has one out
    assert not may_go_out(one, "m3", {"m0", "m1"})  # two are
    assert not may_go_out(
        plan(max_out=9, max_out_per_zone=9, min_capacity_share=0.6), "m5", {"m2"}
    )  # 6 of 12 would go
    assert may_go_out(one, "m0", {"m0"})  # already away itself


# what travels


def test_messages_are_read_as_they_were_written_and_anything_else_is_refused():
    machines_out = (MachineOut("m0", Phase.DRAINING), MachineOut("m1", Phase.RELEASED))
    message = Accept(Revision(3, "n1", 7), PlanProgress(1, "abc", machines_out, 5, "", ("n0", "n1")))
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

    def present_peers(self):
        return self.peers

    listed_peers = present_peers

    def send(self, peer, message):
        self.out.append((peer, unpack(pack(message))))

    def machine_is_up(self, machine):
        return machine.name not in self.gone

    def withhold_traffic(self, machines):
        self.held = machines

    def machine_is_idle(self, machine):
        return True

    def recent_traffic(self):
        return TrafficSample(100.0, self.served, self.served * 0.1)

    served = 100.0

    def zone_load(self):
        return {}

    def log(self, event, **facts):
        self.said.append((event, facts))

    def events(self):
        return [event for event, _ in self.said]

    def machine_events(self):
        return [(event, facts.get("machine")) for event, facts in self.said]

    def run(self, core, seconds, step=0.25):
        end = self.at + seconds
        while self.at < end:
            self.at += step
            core.tick()


def test_a_plan_reaches_a_peer_in_pieces_and_a_conflicting_one_is_refused_with_both_digests():
    ports = {name: Alone([other for other in ("n0", "n1") if other != name]) for name in ("n0", "n1")}
    cores = {name: Maintenance(port, name) for name, port in ports.items()}
    large = plan(machines=60, voters=("n0", "n1"))
    cores["n0"].submit_plan(large)
    for _ in range(8):
        for name, port in ports.items():
            port.run(cores[name], 1.0)
        while any(port.out for port in ports.values()):
            for name, port in ports.items():
                for peer, message in [port.out.pop(0)] if port.out else []:
                    cores[peer].received(name, message)
    assert cores["n1"].adopted == AdoptedPlan(large, large.digest())
    other = plan(machines=59, voters=("n0", "n1"))
    with pytest.raises(PlanRejectedError) as rejected:
        cores["n1"].submit_plan(other)
    assert large.digest() in str(rejected.value) and other.digest() in str(rejected.value)
    cores["n0"].received("n1", PlanAnnouncement(1, other.digest()))
    event, facts = ports["n0"].said[-1]
    assert event == "plan rejected"
    assert {facts["digest"], facts["current_digest"]} == {large.digest(), other.digest()}
    with pytest.raises(PlanRejectedError, match="older"):
        cores["n0"].submit_plan(plan(version=0))
    with pytest.raises(PlanRejectedError, match="voters_next"):
        cores["n0"].submit_plan(plan(machines=60, version=2, voters=("n5",)))
    newer = plan(machines=60, version=2, voters=("n0", "n1"))
    cores["n0"].submit_plan(newer)
    assert cores["n0"].adopted == AdoptedPlan(newer, newer.digest())


def test_a_table_that_comes_before_its_plan_is_kept_and_its_machines_are_kept_off_once_the_plan_is_there():
    """Seen on eight processes.

    The steward's word was quicker than the plan, and the limiter that met it logged a fault.
    """
    port = Alone(["n1"])
    core = Maintenance(port, "n7")
    one = plan()
    draining = PlanProgress(1, one.digest(), (MachineOut("m0", Phase.DRAINING),), voters=("n0", "n1", "n2"))
    core.received("n1", Commit(Revision(2, "n1", 3), draining))
    assert port.held == () and [type(message) for _, message in port.out] == [CommitAck, ChunkRequest]
    assert port.out[0][1].report.idle_machines == ()  # it can't say so yet
    core.submit_plan(one)
    assert port.held == ("m0",)


# the steps, with one voter: all that a majority does is done at once


def begun(**more):
    port = Alone()
    core = Maintenance(
        port, "n0", Settings(lease_s=1.0, request_timeout_s=1.0, healthy_before_resume_s=3.0), bootstrap=True
    )
    bounds = {"pause_s": 0.0, "warm_up_s": 2.0, "start_within_s": 6.0, **more}
    core.submit_plan(plan(voters=("n0",), machines=4, **bounds))
    port.run(core, 3.0)
    return port, core


def out_of(core):
    return dict(core.register.proposer.committed.machines_out)


def test_a_machine_is_permitted_safe_gone_back_filled_and_done_and_then_the_next():
    port, core = begun(min_capacity_share=0.4)
    first = next(iter(out_of(core)))
    assert (
        out_of(core) == {first: Phase.RELEASED}
        and ("machine safe to work on", first) in port.machine_events()
        and port.held == (first,)
    )
    port.run(core, 3.0)
    assert out_of(core) == {first: Phase.RELEASED}  # it is still there: nobody has started
    port.gone = {first}
    port.run(core, 20.0)
    assert out_of(core) == {first: Phase.RELEASED}
    port.gone = set()
    port.run(core, 1.0)
    assert port.held == () and "machine back in service" in port.events()  # used again, as a cold one
    port.run(core, 4.0)
    assert ("machine work completed", first) in port.machine_events() and list(out_of(core)) != [first]


def test_what_nobody_starts_on_is_withdrawn_and_asked_for_again():
    port, core = begun(start_within_s=4.0)
    first = next(iter(out_of(core)))
    port.run(core, 4.0)
    assert "machine release expired" in port.events()
    port.run(core, 3.0)
    assert port.machine_events().count(("machine safe to work on", first)) == 2


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
    assert out_of(core) == {first: Phase.RELEASED}
    port.run(core, 5.0)
    assert out_of(core).get(first) != Phase.RELEASED


def test_a_plan_halts_for_capacity_for_served_share_and_for_long_work_and_goes_on_when_it_is_well_or_told_to():
    port, core = begun(max_out=1, min_capacity_share=0.5, min_served_share=0.9, max_work_s=15.0)
    first = next(iter(out_of(core)))
    port.gone = {first}
    port.run(core, 1.0)
    port.gone = {first, *[name for name in ("m2", "m3") if name != first]}  # 5 of 7 are lost
    port.run(core, 1.0)
    assert (
        port.events().count("plan halted") == 1
        and core.register.proposer.committed.halted == "capacity in service is 2 of 7, required are 3.5"
    )
    port.gone = {first}
    port.run(core, 4.0)
    assert core.register.proposer.committed.halted == "" and "plan resumed" in port.events()
    port.served = 80.0
    port.run(core, 1.0)
    assert core.register.proposer.committed.halted == "served share of requests is 0.800, required are 0.9"
    port.served = 100.0
    core.submit_plan(msgspec.structs.replace(core.adopted.plan, version=2, resume=1))
    port.run(core, 1.5)
    assert core.register.proposer.committed.halted == "" and core.register.proposer.committed.version == 2
    port.run(core, 10.0)
    assert (
        "machine work overdue" in port.events()
        and "longer than the plan allows" in core.register.proposer.committed.halted
    )


def test_one_that_is_only_leaving_is_brought_back_when_the_plan_halts():
    port, core = begun()
    port.machine_is_idle = lambda machine: False
    port.run(core, 6.0)
    first = next(iter(out_of(core)))
    while out_of(core).get(first) != Phase.DRAINING:
        port.gone = {first} if out_of(core).get(first) == Phase.RELEASED and not port.gone else set()
        port.run(core, 1.0)
        first = next(iter(out_of(core)), first)
    held = first
    port.gone = {name for name in ("m0", "m1", "m2", "m3") if name != held}
    port.run(core, 1.0)
    assert out_of(core) == {} and port.held == () and "machine drain cancelled" in port.events()


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
        while not any(step == Phase.DRAINING for step in out_of(core).values()):
            port.run(core, 0.25)
        began = port.at
        port.listed_peers = lambda: ["n9"]
        port.peers = ["n9"] if there else []
        while any(step == Phase.DRAINING for step in out_of(core).values()):
            port.run(core, 0.25)
            assert port.at < began + 10.0
        assert waits - 0.5 <= port.at - began <= waits + 1.0, (there, port.at - began)


def test_a_plan_that_is_done_lets_its_lease_run_out_and_writes_no_more():
    port, core = begun(warm_up_s=0.0, start_within_s=2.0)
    for _ in range(4):
        name = next(iter(out_of(core)))
        port.gone = {name}
        port.run(core, 3.0)
        port.gone = set()
        port.run(core, 1.5)
    assert core.is_finished(core.register.value) and "leadership lost" in port.events()
    revision = core.register.voter.revision
    port.run(core, 30.0)
    assert core.register.voter.revision == revision


# the register


def test_a_lease_ends_at_the_voter_after_the_leader_s_whatever_the_two_clocks_do():
    for leader in (1 - CLOCK_DRIFT, 1 + CLOCK_DRIFT):
        for voter in (1 - CLOCK_DRIFT, 1 + CLOCK_DRIFT):
            # True s: rate of a clock times true time is what it shows
            assert voter_lease_s(3.0) / voter >= 3.0 / leader - 1e-9


def test_one_that_starts_with_nothing_abstains_for_a_lease_and_until_it_has_read_a_majority():
    port = Alone(["n1", "n2", "n3", "n4"])
    core = Maintenance(port, "n0", Settings(lease_s=1.0, announce_interval_s=0.0))
    core.submit_plan(plan(voters=("n0", "n1", "n2", "n3", "n4")))
    voter = core.register.voter
    value = PlanProgress(1, core.adopted.digest, (MachineOut("m3", Phase.RELEASED),))
    port.run(core, 0.75)
    assert not port.out  # within the lease it does not even ask
    core.received("n1", Accept(Revision(4, "n1", 2), value))
    assert voter.abstains and not any(isinstance(message, Accepted) for _, message in port.out)
    port.run(core, 1.0)
    asked = [message.number for _, message in port.out if isinstance(message, FetchRequest)]
    assert asked
    for peer, abstains in (("n1", False), ("n2", False), ("n3", True)):
        reply = FetchReply(asked[-1], abstains, Ballot(4, "n1"), Revision(4, "n1", 2), value, True)
        core.received(peer, reply)
    assert voter.abstains  # two that remember are no majority of five
    core.received("n4", FetchReply(asked[-1], False, Ballot(4, "n1"), Revision(4, "n1", 3), value, True))
    assert not voter.abstains and voter.value.phase("m3") == Phase.RELEASED and voter.lease_end > port.at


def test_who_has_no_vote_reads_nothing():
    """Seen in a profile: 200 limiters each asked all others, 40,000 words for what five need to know."""
    port = Alone([f"n{n}" for n in range(8)])
    core = Maintenance(port, "n9", Settings(lease_s=1.0, announce_interval_s=0.0))
    core.submit_plan(plan())
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
    cores = {
        name: Maintenance(port, name, Settings(lease_s=1.0, announce_interval_s=0.0))
        for name, port in ports.items()
    }
    for core in cores.values():
        core.submit_plan(plan(start_within_s=5.0))
    for step in range(80):
        pass_time(ports, cores)
        if step * 0.25 < 4.5:
            assert all(core.register.voter.abstains for core in cores.values())
    assert any(core.register.value.machines_out for core in cores.values())


@pytest.mark.parametrize(
    "cut", [{("n0", "n1"), ("n0", "n2")}, {("n1", "n0"), ("n2", "n0")}, {("n1", "n0"), ("n0", "n2")}]
)
def test_voters_that_remember_nothing_hear_each_other_by_a_third_where_a_link_is_cut_one_way(cut):
    """Seen on processes, where it held a plan up for as long as the cut lasted.

    Two new voters waited for the third, whose answers did not reach them.
    """
    names = [f"n{n}" for n in range(4)]  # n3 has no vote
    ports = {name: Alone([other for other in names if other != name]) for name in names}
    cores = {
        name: Maintenance(port, name, Settings(lease_s=1.0, announce_interval_s=0.0))
        for name, port in ports.items()
    }
    for core in cores.values():
        core.submit_plan(plan(start_within_s=2.0))
    for _ in range(100):
        pass_time(ports, cores, cut)
    assert any(core.register.value.machines_out for core in cores.values())
    assert cores["n3"].follower.committed.machines_out  # and those without a vote were told


# the checker


@pytest.mark.parametrize(
    "voters, most, joins, states",
    [(3, 1, False, 5000), (3, 2, False, 4000), (5, 1, False, 2000), (4, 1, True, 2000)],
)
def test_the_checker_finds_nothing_wrong_and_from_what_it_saw_every_plan_ends(voters, most, joins, states):
    model = Model(ModelSettings(voters, most, machines=1 + most, last_voter_joins=joins, rounds=True))
    limits = SearchLimits(deviations=2, depth=30, states=states, seconds=15.0, sample_every=states // 8)
    found = search(model, limits)
    assert found.violation is None, (found.violation, found.trail)
    assert found.states > 500 and found.samples
    samples = found.samples[:6]
    assert [model.obstacle_to_end(state) for state in samples] == [None] * len(samples)


def test_the_checker_finds_no_two_machines_of_a_zone_out_where_one_is_the_most():
    two_zones = ModelSettings(3, 2, machines=4, max_out_per_zone=1, zones=2, rounds=True)
    model = Model(two_zones)
    found = search(model, SearchLimits(deviations=2, depth=30, states=3000, seconds=15.0, sample_every=400))
    assert found.violation is None and found.states > 500
    samples = found.samples[:4]
    assert [model.obstacle_to_end(state) for state in samples] == [None] * len(samples)
    # And it would be found: limiters with other zones
    loose = Model(two_zones)
    for core in loose.cores:
        core.adopted.plan = msgspec.structs.replace(
            core.adopted.plan,
            machines=tuple(
                msgspec.structs.replace(machine, zone="prqs"[number])
                for number, machine in enumerate(core.adopted.plan.machines)
            ),
        )
    assert "zone" in search(loose, SearchLimits(deviations=0, depth=30, states=500, seconds=15.0)).violation


def test_the_checker_goes_message_by_message_too():
    found = search(
        Model(ModelSettings(3, 1, 2)), SearchLimits(deviations=1, depth=60, states=6000, seconds=15.0)
    )
    assert found.violation is None and found.states > 1000


@pytest.mark.parametrize(
    "planted, model, text",
    [
        (
            "no look at the lease",
            dict(voters=3, max_out=1, machines=2, rounds=True, faults={Fault.STALL: 1}),
            "two hold the permit",
        ),
        (
            "counted votes",
            dict(
                voters=3,
                max_out=2,
                machines=3,
                rounds=True,
                single_leader=False,
                sees_only_machines_out=True,
                faults={Fault.DELAY: 1, Fault.MUTE: 1},
            ),
            "3 machines out",
        ),
        (
            "no abstaining",
            dict(
                voters=3,
                max_out=1,
                machines=2,
                rounds=True,
                cut_off="n2",
                sees_only_machines_out=True,
                work_s=9,
                single_leader=False,
                faults={Fault.CRASH: 2},
            ),
            "2 machines out",
        ),
    ],
)
def test_the_checker_finds_each_planted_fault(planted, model, text):
    faulty = ModelSettings(roles=PLANTED[planted], **model)
    found = search(Model(faulty), SearchLimits(deviations=2, depth=26, seconds=45.0))
    assert text in found.violation and 5 < len(found.trail) < 30
    replay = Model(faulty)
    state = replay.initial_state()
    for action in found.trail:
        assert replay.violation(state) is None
        state = replay.successor(state, action)
    assert text in replay.violation(state)
    sound = Model(ModelSettings(**model))  # the same faults at the same steps harm the real one not
    state = sound.initial_state()
    for action in found.trail:
        by_itself = action.kind in (ActionKind.ROUND, ActionKind.TICK)
        if not by_itself and action not in [other for other, _ in sound.other_actions(state)]:
            continue
        state = sound.successor(state, action)
        assert sound.violation(state) is None


class Plans(RuleBasedStateMachine):
    """Random trails over the same model, longer and with more faults than the search reaches."""

    def __init__(self):
        super().__init__()
        faults = {
            Fault.CRASH: 2,
            Fault.STALL: 3,
            Fault.CUT: 3,
            Fault.MUTE: 3,
            Fault.DELAY: 5,
            Fault.DUPLICATE: 3,
            Fault.SLOW_WORKER: 3,
        }
        self.model = Model(ModelSettings(3, 1, 3, rounds=True, faults=faults))
        self.state = self.model.initial_state()

    @rule(rounds=some.integers(1, 4))
    def on(self, rounds):
        for _ in range(rounds):
            self.state = self.model.successor(self.state, self.model.default_action(self.state))
            assert self.model.violation(self.state) is None

    @rule(which=some.integers(0, 50))
    def fault(self, which):
        others = [action for action, _ in self.model.other_actions(self.state)]
        if others:
            self.state = self.model.successor(self.state, others[which % len(others)])

    @invariant()
    def nothing_broken(self):
        assert self.model.violation(self.state) is None


TestPlans = Plans.TestCase
TestPlans.settings = settings(
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
