"""Report of the trial: the results of its checks, each printed when it is known."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Check:
    """The result of one check."""

    name: str
    passed: bool
    detail: str

    def line(self) -> str:
        """Return the line that is printed for the check."""
        return f"{'ok    ' if self.passed else 'FAILED'} {self.name}: {self.detail}"


class Report:
    """The results of the checks so far, in order."""

    def __init__(self) -> None:
        self.checks: list[Check] = []

    def check(self, name: str, passed: bool, detail: str) -> None:
        """Record and print the result of a check."""
        self.checks.append(Check(name, passed, detail))
        print(self.checks[-1].line(), flush=True)

    def failed(self) -> list[Check]:
        """Return the checks that failed."""
        return [check for check in self.checks if not check.passed]

    def summary(self) -> str:
        """Return the last line that is printed: how many checks passed."""
        return f"{len(self.checks) - len(self.failed())} of {len(self.checks)} checks passed"
