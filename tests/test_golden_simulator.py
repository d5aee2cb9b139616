"""The simulator's wire: a scripted session, frame by frame, and the layout of each kind of record.

`golden/simulator_session.jsonl` holds the frames that the simulator sent in turn and the frame that answered
each. The session is played with `golden/simulator_settings.json`.
"""

import io
import struct
from collections.abc import Iterator

from brookhub.simulator import frames
from brookhub.simulator.actions import ACTIONS
from brookhub.simulator.host import Host
from golden_cases import assert_golden, golden_bytes, golden_text

SESSION, SETTINGS = "simulator_session.jsonl", "simulator_settings.json"
COUNTED, FIRED, WHISPER, OPENED, TRY_END, ARRIVAL, KILLED, PROBED, HANGUP, SERVERS, LAUNCH = range(16, 27)
OK, ERROR, TIMEOUT, RESET = 10, 20, 40, 60
LAYOUTS = {
    COUNTED: "<IQHfd",
    FIRED: "<IQ",
    WHISPER: "<IIII",
    OPENED: "<IQdIH",
    TRY_END: "<IQHIHdBHHB4f",
    ARRIVAL: "<IQdfHQffBB",
    KILLED: "<I",
    PROBED: "<IHIdB4f",
    HANGUP: "<IQ",
    SERVERS: "<IBQII",
    LAUNCH: "<IQII",
}
ENTRY = "<IBBHBfd"
READY, GONE, DRAINING = 0, 1, 2
DELTA, FULL, FAILED = 0, 2, 4
GATEWAY = 5
COUNT = 9 << 31 | 50  # name of the arriving customer's count, in the quota's window at 100 s
NO_LOAD = (0, 0.0, 0.0, 0.0, 0.0)
LOAD = (2, 0.5, 3.0, 0.0, 0.0)


def frame(number: int, clock: float, records: list[tuple[int, ...]], tail: bytes = b"") -> bytes:
    """A batch as the simulator writes it: each record padded to 56 bytes, then the tail."""
    rows = [
        (bytes([code]) + struct.pack(LAYOUTS[code], *fields)).ljust(56, b"\0") for code, *fields in records
    ]
    body = b"".join(rows) + tail
    return struct.pack("<IIdI", number, len(body) + 12, clock, len(records)) + body


def arrival(ident: int, expires: float, route: int = 0, customer: int = 9, bits: int = 0) -> tuple[int, ...]:
    """A client's request, of one unit, at the first plan."""
    return (ARRIVAL, GATEWAY, ident, expires, 1.0, 0, customer, 2.0, 1.0, bits, route)


def attempt_end(ident: int, number: int, server: int, code: int, load: tuple[float, ...]) -> tuple[int, ...]:
    """The end of an attempt after 50 ms, with 2 units used and charged; an answer is the request's end."""
    return (TRY_END, GATEWAY, ident, number, server, code, 0.05, int(code == OK), 3, 2, *load)


def session() -> Iterator[tuple[str, bytes]]:
    """What the simulator sends in turn, each frame with its case's name."""
    settings = golden_text(SETTINGS).encode()
    full = [(0, READY), (1, READY), (2, READY)]
    entries = b"".join(struct.pack(ENTRY, ident, 0, 0, 1, state, 1.0, 10.0) for ident, state in full)
    changes = struct.pack(ENTRY, 2, 0, 0, 1, DRAINING, 1.0, 10.0) + struct.pack(
        ENTRY, 1, 0, 0, 1, GONE, 1.0, 10.0
    )
    script: list[tuple[str, float, list[tuple[int, ...]], bytes]] = [
        ("launch", 100.0, [(LAUNCH, GATEWAY, 0x8C1F30, 0, len(settings))], settings),
        ("servers", 100.0, [(SERVERS, GATEWAY, FULL, 41, 0, 3)], entries),
        ("servers unheard", 100.1, [(SERVERS, GATEWAY, FAILED, 0, 0, 0)], b""),
        (
            "arrivals",
            100.2,
            [arrival(1, 102.2), arrival(2, 102.2, 1, bits=4), arrival(3, 101.0, 0, 7, 2)],
            b"",
        ),
        ("counted", 100.21, [(COUNTED, GATEWAY, COUNT, OK, total, 0.01) for total in (1.0, 2.0)], b""),
        ("timer of the third", 100.23, [(FIRED, GATEWAY, 6)], b""),
        ("answer began", 100.25, [(OPENED, GATEWAY, 1, 0.02, 0, 0)], b""),
        ("answered", 100.3, [attempt_end(1, 0, 0, OK, LOAD)], b""),
        ("failed", 100.3, [attempt_end(2, 0, 1, ERROR, NO_LOAD), attempt_end(3, 0, 2, RESET, NO_LOAD)], b""),
        ("health check", 100.5, [(PROBED, GATEWAY, OK, 0, 0.01, *LOAD)], b""),
        ("message", 100.5, [(WHISPER, GATEWAY, 6, 0, 4)], b"word"),
        ("servers leave", 100.6, [(SERVERS, GATEWAY, DELTA, 42, 0, 2)], changes),
        ("another arrival", 100.7, [arrival(4, 102.7)], b""),
        ("its count", 100.71, [(COUNTED, GATEWAY, COUNT, OK, 3.0, 0.01)], b""),
        ("client left", 100.75, [(HANGUP, GATEWAY, 4)], b""),
        ("quota spent", 100.8, [arrival(ident, 102.8) for ident in range(10, 30)], b""),
        ("no word of the counter", 100.85, [(COUNTED, GATEWAY, COUNT, TIMEOUT, 0.0, 0.05)] * 2, b""),
        ("beyond the quota", 100.9, [(COUNTED, GATEWAY, COUNT, OK, 50.0, 0.01)], b""),
        ("refused", 100.95, [arrival(ident, 102.9, 0, 9, 2) for ident in (40, 41)], b""),
        ("all timers", 103.0, [(FIRED, GATEWAY, mark) for mark in range(1, 90)], b""),
        ("killed", 103.1, [(KILLED, GATEWAY)], b""),
        ("after the kill", 103.2, [arrival(5, 105.0)], b""),
    ]
    for number, (name, clock, records, tail) in enumerate(script, 1):
        yield name, frame(number, clock, records, tail)


def test_a_scripted_session_is_answered_with_the_golden_frames() -> None:
    inbound, outbound = io.BytesIO(b"".join(data for _, data in session())), io.BytesIO()
    Host(inbound, outbound).run()
    outbound.seek(0)
    actual = {}
    for name, data in session():
        head = outbound.read(12)
        actual[f"{name}: sent"] = data
        actual[f"{name}: answer"] = head + outbound.read(struct.unpack("<III", head)[1] - 4)
    assert not outbound.read()
    assert_golden(SESSION, actual)


def test_the_golden_frames_are_read_field_by_field() -> None:
    golden, codes = golden_bytes(SESSION), set()
    for name, _ in session():
        data = golden[f"{name}: sent"]
        batch = frames.read_batch(io.BytesIO(data))
        assert batch is not None
        assert (batch.number, batch.clock) == struct.unpack_from("<I4xd", data)
        for index, (code, fields) in enumerate(batch.records()):
            assert fields == struct.unpack_from(LAYOUTS[code], data, 21 + 56 * index)
            codes.add(code)
    assert codes == set(LAYOUTS)


def test_every_kind_of_action_has_the_golden_bytes() -> None:
    values = {"B": 3, "H": 1000, "I": 70_000, "Q": 2**40, "f": 0.5, "d": 1.25}
    actual = {}
    for code, layout in sorted(ACTIONS.items()):
        reply = frames.Reply(code)
        reply.add(code, *(values[kind] for kind in layout.format[2:]))
        assert reply.append_to_tail(b"tail") == (0, 4)
        actual[str(code)] = reply.encode()
    assert_golden("simulator_actions.jsonl", actual)


def test_a_fault_of_a_gateway_is_answered_with_its_traceback() -> None:
    host, outbound = Host(io.BytesIO(dict(session())["launch"]), io.BytesIO()), io.BytesIO()
    host.run()
    host.gateways[GATEWAY].gateway = None
    host.source, host.sink = io.BytesIO(frame(2, 100.0, [arrival(1, 102.0)])), outbound
    host.run()
    answer = outbound.getvalue()
    assert struct.unpack_from("<IIIBIII", answer) == (2, len(answer) - 8, 1, 25, GATEWAY, 0, len(answer) - 44)
    assert answer[44:].decode().startswith("Traceback (most recent call last):")
