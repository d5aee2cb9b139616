"""Reads golden files: what the program wrote and read before a change, and has to write and read after it.

A golden file has a JSON object a line: the case's name, and its bytes as ASCII text or as hexadecimal digits.
A golden file only changes together with what others see of the program: a wire, a file, a result.
"""

import json
from pathlib import Path

GOLDEN = Path(__file__).parent / "golden"


def golden_text(name: str) -> str:
    """The content of a golden file."""
    return (GOLDEN / name).read_text()


def golden_bytes(name: str) -> dict[str, bytes]:
    """The cases of a golden file by their names."""
    cases = map(json.loads, golden_text(name).splitlines())
    return {
        case["case"]: case["text"].encode("ascii") if "text" in case else bytes.fromhex(case["hex"])
        for case in cases
    }


def golden_line(case: str, data: bytes) -> str:
    """The line of a golden file for these bytes."""
    form = {"text": data.decode()} if is_text(data) else {"hex": data.hex()}
    return json.dumps({"case": case, **form})


def is_text(data: bytes) -> bool:
    """Whether the bytes are printable ASCII with line ends."""
    return all(32 <= byte < 127 or byte in b"\r\n" for byte in data)


def assert_golden(name: str, actual: dict[str, bytes]) -> None:
    """The bytes are those of the golden file, case by case; a mismatch shows the lines as they would be."""
    golden = golden_bytes(name)
    assert sorted(actual) == sorted(golden)
    differing = [case for case in golden if golden[case] != actual[case]]
    shown = "\n".join(golden_line(case, actual[case]) for case in differing)
    assert not differing, f"{name}: now it is\n{shown}"
