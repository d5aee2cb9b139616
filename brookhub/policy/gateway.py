"""The entry point of the policy, which builds the filter chains of a gateway and receives its events."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from ..model import Attempt, PendingRequest, Request, Server
from ..ports import FleetCoordination, GatewayPort
from ..site import GatewaySettings
from ..structures import RandomGenerator
from .account_table import AccountTable
from .answers import Responder
from .attempt_statistics import AttemptStatistics
from .ceiling import CeilingFilter
from .concurrency_limit import ConcurrencyLimit
from .constants import SERVER_LIST_RETRIES
from .counter_reports import CounterReporter
from .counter_windows import CounterWindows
from .dispatcher import Dispatcher
from .fleet_size import FleetSize
from .intake import IntakeFilter
from .loans import LoanBook, LoanFilter
from .plan_limits import PlanLimits
from .quota import QuotaFilter, QuotaLedger
from .quota_estimate import QuotaEstimator
from .repeat_safety import may_run_until, write_deadline
from .request_queue import RequestQueue
from .retries import RetryPolicy
from .server_selection import ServerSelector
from .slow_start import SlowStart
from .subset import ServerSubset
from .upstreams import AttemptOptions, Upstreams


class Gateway:
    """Receiver of the adapter's events, which it passes to the filters. Not thread-safe.

    All times are in seconds on the port's clock.
    """

    def __init__(
        self, port: GatewayPort, seed: int, settings: GatewaySettings, max_accounts: float = inf
    ) -> None:
        """Build the filters.

        `seed`: seed of all random decisions; `max_accounts`: number of customers' records that fit into the
        memory.
        """
        self.port = port
        self.settings = settings
        self.random = RandomGenerator(seed)
        self.horizon = max((route.latency_target for route in settings.routes), default=1.0)
        self.fleet_size = FleetSize(settings.gateways, settings.gateways, settings.gateways)
        self.accounts = AccountTable(port, settings, self.fleet_size, self.horizon, max_accounts)
        self.statistics = AttemptStatistics(port)
        self.limit = ConcurrencyLimit(port, self.fleet_size, self.statistics)
        self.subset = ServerSubset(
            port,
            self.random,
            settings,
            self.fleet_size,
            SlowStart(port, settings, self.statistics),
            self.limit,
        )
        self._build_completion()
        self._build_filters()
        if settings.polls_server_list:
            port.watch_servers(True)

    def _build_completion(self) -> None:
        """Build the completion steps from the last to the first: answer, quota, loans, plan limits."""
        port = self.port
        self.estimator = QuotaEstimator(port, self.settings.max_request_units)
        self.reporter = CounterReporter(port, self.random, self.settings, self.estimator)
        self.responder = Responder(port, self.settings.max_retry_after)
        self.ledger = QuotaLedger(port, self.reporter, self.responder)
        self.loan_book = LoanBook(port, self.accounts, self.horizon, self.ledger)
        self.limits = PlanLimits(self.loan_book)

    def _build_filters(self) -> None:
        """Build the filters that a request passes, from the last to the first."""
        port = self.port
        queue = RequestQueue()
        selector = ServerSelector(port, self.random, self.settings.zone, self.subset)
        retries = RetryPolicy(port, self.random, self.settings.max_attempts, self.subset)
        options = AttemptOptions(self.settings.can_cancel, loan_timeout=self.horizon)
        self.upstreams = Upstreams(port, selector, retries, queue, self.limits, options)
        self.dispatcher = Dispatcher(port, queue, selector, self.upstreams, self.limits)
        ceiling = CeilingFilter(port, self.dispatcher, self.loan_book)
        loans = LoanFilter(self.loan_book, queue, selector, self.limits, ceiling, self.ledger)
        windows = CounterWindows(port, self.reporter, self.estimator)
        quota = QuotaFilter(port, self.random, self.ledger, windows, loans)
        self.intake = IntakeFilter(port, self.dispatcher, self.upstreams, self.responder, quota)

    # Requests and attempts

    def on_request(self, request: Request) -> None:
        """Handle a new request from a client."""
        account = self.accounts.open(request)
        if account is None:
            self.port.reject_request(request, min(self.horizon, self.settings.max_retry_after))
            return
        self.accounts.mark_active(account)
        account.open_requests += 1
        target_at = min(self.port.now + request.route.latency_target, request.deadline)
        self.intake.accept(PendingRequest(request, account, target_at, account.plan.is_soft))

    def on_client_disconnected(self, request: Request) -> None:
        """End a request whose client has disconnected; no further attempt is sent for it."""
        if request.pending:
            self.upstreams.abort_request(request.pending, client_left=True)

    def write_deadline(self, attempt: Attempt) -> float:
        """Return the time before which a chosen attempt has to be written; -inf: it must not be written."""
        return write_deadline(attempt)

    def may_run_until(self, request: Request) -> float:
        """Return the time until which an attempt of a finished request may run; -inf if none may."""
        return may_run_until(request)

    def on_response_started(self, attempt: Attempt, duration: float) -> None:
        """Record that a server's answer began, `duration` seconds after the attempt was sent."""
        if attempt.request.pending:
            attempt.request.pending.response_started = True

    def on_attempt_ended(
        self,
        attempt: Attempt,
        duration: float,
        answered: bool,
        charged_units: float,
        used_capacity: float | None,
        report: dict[str, float],
    ) -> None:
        """Handle the end of an attempt, whose outcome is set.

        `duration`: in seconds; `answered`: whether the attempt brought the request's final answer;
        `charged_units`: units that the server reports as used by the request, 0 if it reports none. The
        server's capacity in use (`used_capacity`) and its load `report` are ignored.
        """
        pending = attempt.request.pending
        if pending:
            self.accounts.mark_active(pending.account)
            corrects_units = self.settings.reports_actual_units and charged_units and pending.counted_units
            self.ledger.spend(pending, charged_units - pending.counted_units if corrects_units else 0.0)
        self.upstreams.attempt_ended(attempt, duration, answered)
        self.dispatcher.dispatch()

    # The fleet

    def on_servers_updated(self, servers: Iterable[Server]) -> None:
        """Apply the server list, or changes to it."""
        self.subset.update(servers)
        self.dispatcher.dispatch()

    def on_server_list_failed(self) -> None:
        """Schedule a retry after a failed request for the server list."""
        retry_in = self.settings.server_list_max_age / SERVER_LIST_RETRIES
        self.port.call_later(retry_in, lambda: self.port.watch_servers(True))

    def on_membership_changed(self, live: int, rank: int, possible: int) -> None:
        """Apply a change of membership.

        `live`: number of gateways seen as running; `rank`: this gateway's position among them; `possible`:
        number of gateways that are not known to have left. Quotas are divided among the possible gateways,
        because both sides of a network partition are still running.
        """
        self.fleet_size.live = live
        self.fleet_size.possible = possible
        self.accounts.recompute_shares()
        self.subset.refresh()

    def on_granted_share_changed(self, granted_share: float) -> None:
        """Apply a new share of each quota that the counter reachable from here may grant; 0: none.

        The recovery of the counter determines this share.
        """
        self.accounts.set_granted_share(granted_share)

    def use_coordination(self, coordination: FleetCoordination) -> None:
        """Use the fleet's decisions on ejections, probes and subsets from now on."""
        self.subset.use_coordination(coordination)

    def on_probe_ended(self, *result: object) -> None:
        """Do nothing: the policy probes servers with requests of clients, not with probes of its own."""

    def on_peer_message(self, *message: object) -> None:
        """Do nothing: gateways exchange information through the counter and membership only."""
