"""Tests of turns: what one client sends does not keep others from being accepted, read and answered."""

import asyncio
import contextlib
import multiprocessing
import threading
import time

from brookhub.routing.event_loop import MAX_TIMERS_PER_TURN, EventLoop
from brookhub.transport.fair_lock import FairLock, Flow
from gateway_program import Client, api_call, command
from waiting import until

BAD_CLIENTS = 120
COMMANDS_AT_ONCE = 200
BAD_SECONDS = 7.0
USUAL_REQUESTS = 30
TIMEOUT_MS = 1000
LATEST_ANSWER_S = TIMEOUT_MS / 1000 + 0.5 + 0.05  # Half a second after its time, and 50 ms for the sockets.


class Users:
    """Threads that wait for a lock; `order` has the names of those that got it."""

    def __init__(self, lock):
        self.lock, self.order, self.threads = lock, [], []

    def wait_for_turn(self, name, flow):
        waiting = len(self.lock._waiting) + len(self.lock._urgent)
        thread = threading.Thread(target=self._use, args=(name, flow))
        thread.start()
        self.threads.append(thread)
        assert until(lambda: len(self.lock._waiting) + len(self.lock._urgent) > waiting)

    def _use(self, name, flow):
        self.lock.acquire(flow)
        self.order.append(name)
        self.lock.release(flow)

    def join(self):
        for thread in self.threads:
            thread.join(10)


def flow_that_held(seconds):
    flow = Flow()
    flow.finished_at = seconds
    return flow


def test_flow_that_has_held_the_lock_least_is_next():
    users, holder = Users(FairLock()), Flow()
    users.lock.acquire(holder)
    for name, held in (("much", 5.0), ("some", 2.0), ("new", 0.0), ("little", 1.0)):
        users.wait_for_turn(name, flow_that_held(held))
    users.lock.release(holder)
    users.join()
    assert users.order == ["new", "little", "some", "much"]


def test_urgent_flow_is_next_but_not_twice_in_a_row_while_others_wait():
    users, holder = Users(FairLock()), Flow()
    users.lock.acquire(holder)
    users.wait_for_turn("first", Flow())
    users.wait_for_turn("second", Flow())
    for name in ("accept", "timers"):
        users.wait_for_turn(name, Flow(is_urgent=True))
    users.lock.release(holder)
    users.join()
    assert users.order == ["accept", "first", "timers", "second"]


def test_flow_that_was_idle_gains_no_credit_for_it():
    # Otherwise one that returns after a long time would have the lock until it has caught up with the others.
    lock, busy, idle = FairLock(), flow_that_held(9.0), flow_that_held(1.0)
    for flow in (busy, idle):
        lock.acquire(flow)
        lock.release(flow)
    assert idle.finished_at >= 9.0


def test_released_lock_is_free_for_the_next_user():
    lock, flow = FairLock(), Flow()
    for _ in range(3):
        lock.acquire(flow)
        lock.release(flow)
    assert not lock._is_held and not lock._waiting


def test_timers_that_are_due_together_run_in_several_turns():
    # Guards against an event whose length clients set: the timers of all their requests at one time.
    loop, ran, waiting = EventLoop(lambda error: None, 0.0), [], Flow()
    for number in range(3 * MAX_TIMERS_PER_TURN):
        loop.run(loop.now, loop.call_later, 0.0, lambda number=number: ran.append(number))
    assert loop._run_due_timers(waiting) == 0 and len(ran) == MAX_TIMERS_PER_TURN
    assert loop._run_due_timers(waiting) == 0
    assert loop._run_due_timers(waiting) > 0 and ran == list(range(3 * MAX_TIMERS_PER_TURN))


async def send_unusable_commands(port, until_time):
    data = command(b"CALL.GET", b"%016x" % 1, b"%016x" % 1, b"c=none,t=wide,d=900") * COMMANDS_AT_ONCE
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        while time.monotonic() < until_time:
            writer.write(data)
            for _ in range(COMMANDS_AT_ONCE):
                await reader.readuntil(b"\r\n")
    writer.close()


def play_bad_clients(port, seconds):
    """Send unusable commands at full speed on many connections. Runs in a process of its own."""

    async def play():
        until_time = time.monotonic() + seconds
        await asyncio.gather(*[send_unusable_commands(port, until_time) for _ in range(BAD_CLIENTS)])

    asyncio.run(play())


def test_requests_on_new_connections_are_answered_in_time_beside_clients_that_send_at_full_speed(started):
    # Guards against connections that wait for seconds to be accepted, and then for each of their turns.
    program = started()
    bad = multiprocessing.get_context("spawn").Process(
        target=play_bad_clients, args=(program.port, BAD_SECONDS), daemon=True
    )
    bad.start()
    assert until(lambda: program.descriptor_count() > BAD_CLIENTS)
    late = []
    for number in range(USUAL_REQUESTS):
        sent_at = time.monotonic()
        with Client(program) as client:
            assert client.ask(api_call(number, timeout_ms=TIMEOUT_MS)) == b"ok"
        waited = time.monotonic() - sent_at
        if waited > LATEST_ANSWER_S:
            late.append(round(waited, 2))
        time.sleep(0.05)
    assert late == []
    bad.terminate()
    bad.join(10)
