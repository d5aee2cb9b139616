"""The project's own sites load through the settings reader of every gateway.

One that is wrong is told in one line.
"""

from pathlib import Path

import pytest
from click.testing import CliRunner

from brookhub.cli import main
from brookhub.config import SiteFile, load
from brookhub.model import Answer, Outcome
from brookhub.program.start_file import parse
from brookhub.site import Idempotency
from gateway_harness import GatewayHarness

SITES = Path(__file__).parent.parent / "deploy" / "sites"
PATHS = sorted(SITES.glob("*.toml"))


def start_of(path, gateways=200):
    told = {
        "listen": "127.0.0.1:6379",
        "discovery": "127.0.0.1:8500",
        "counter": "127.0.0.1:6400",
        "settings": load(path, SiteFile).settings(gateways),
    }
    return parse(told, {}, reload=False)


@pytest.mark.parametrize("path", PATHS, ids=lambda path: path.stem)
def test_a_site_makes_a_gateway_that_serves(path):
    harness = GatewayHarness(servers=4, **vars(start_of(path, gateways=3).gateway_settings))
    for index in range(len(harness.settings.routes)):
        request = harness.request(harness.customer(index + 1), route=index, gateways=2)
        harness.advance(0.05)
        while request not in harness.answers and harness.in_flight:
            harness.end_attempt(harness.in_flight[0], Outcome.OK)
        assert harness.answers[request][0] == Answer.SERVED


def test_the_sites_hold_what_they_were_written_for():
    ticket, sensor = (
        start_of(SITES / name).gateway_settings for name in ("ticket-office.toml", "sensor-hub.toml")
    )
    assert {route.idempotency for route in ticket.routes} == set(Idempotency) and not ticket.polls_server_list
    keyed = next(route for route in ticket.routes if route.idempotency is Idempotency.KEYED)
    assert keyed.deduplication_window < keyed.client_timeout
    assert sensor.polls_server_list and min(plan.burst / sensor.gateways for plan in sensor.plans) < 0.05


@pytest.mark.parametrize(
    "old, new, said",
    [
        ('effect = "unsafe"', 'effect = "perhaps"', "class"),
        ("max_attempts = 4\n", "", "allow.max_attempts: required key missing"),
        ("window_ms = 2500", "window_ms = 0", "window_ms"),
        ("rate = [1, 2]", "rate = [0, 2]", "above 0"),
        ("rate = [1, 2]", 'rate = "much"', "range"),
        ("rate = [1, 2]", "rate = [nan, 2]", "above 0"),
        ("deadline_ms = 6000", "deadline_ms = 600", "below aim_ms"),
        ("[fam]\n", "[fam\n", "not TOML"),
    ],
)
def test_a_wrong_or_missing_value_is_one_clear_line_and_exit_2(tmp_path, old, new, said):
    text = (SITES / "ticket-office.toml").read_text()
    path = tmp_path / "site.toml"
    path.write_text(text.replace(old, new, 1))
    assert path.read_text() != text
    ran = CliRunner().invoke(main, ["check-config", str(path)])
    assert (
        ran.exit_code == 2
        and said in ran.stderr
        and ran.stderr.count("\n") == 1
        and ran.stderr.startswith(f"brookhub: {path}")
    )


@pytest.mark.parametrize("path", PATHS, ids=lambda path: path.stem)
def test_a_good_site_is_told_so(path):
    ran = CliRunner().invoke(main, ["check-config", str(path)])
    assert ran.exit_code == 0 and ran.output.strip() == f"{path}: a good site file"
