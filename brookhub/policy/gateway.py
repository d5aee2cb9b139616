"""The chain of stages, and what a gateway is told."""

from itertools import islice

from ..model import PendingRequest
from ..pipeline import link
from ..structures import RandomGenerator
from .accounts import divide, open_account
from .admission import Intake, Quota
from .capacity import Ceiling, Loans
from .constants import FORGET, IDLE, LENDERS, LOOKED_AT
from .queue import Queue
from .upstreams import Upstreams


class Gateway:
    """The decisions of one gateway process. Only to be used by one thread at a time."""

    def __init__(self, port, seed, settings):
        random, horizon = (
            RandomGenerator(seed),
            max((route.latency_target for route in settings.routes), default=1.0),
        )
        self.port, self.launched, self.settings, self.accounts = port, port.now, settings, {}  # by last use
        self.gateways = self.sure_gateways = settings.gateways
        queue, self.quota = Queue(port), Quota(port, random, settings)
        self.upstreams = Upstreams(port, random, queue, settings, horizon)
        self.intake = Intake(port, queue, settings.max_retry_after)
        loans = Loans(port, queue, self.accounts, horizon)
        link([self.intake, self.quota, loans, Ceiling(port), queue, self.upstreams])
        self.on_servers_updated = self.upstreams.listed
        if settings.polls_server_list:
            port.watch_servers(True)

    def touch(self, account):  # a request or an attempt's end makes it active, which freezes new loans on it
        account.last_active_at = self.port.now
        self.accounts.pop(account, None)
        self.accounts[account] = None
        kept = FORGET if len(self.accounts) <= LENDERS else IDLE * self.upstreams.horizon  # crowds come once
        for one in list(islice(self.accounts, LOOKED_AT)):
            forgotten = self.port.now - one.last_active_at > max(kept, one.full_refill_time)
            if forgotten and not one.lent_units and not one.in_flight:
                one.customer.account = self.accounts.pop(one)  # None: its buckets are full by now

    def holders(self, told):  # gateways that hold a quota: of the whole fleet's, those not known to have left
        return self.sure_gateways if told == self.gateways else told

    def redivide(self, credit=1.0):
        for account in self.accounts:
            account.refill(self.port.now)
            account.granted_share = self.quota.granted
            divide(account, self.holders(account.announced_holders))
            account.credit = min(account.credit * credit, account.max_credit)

    def on_membership_changed(
        self, live, rank, sure
    ):  # gateways there; this one's place; those not surely gone
        self.sure_gateways = self.upstreams.sure_gateways = sure  # in a split both sides are there
        self.upstreams.gateways = live
        self.redivide()
        self.upstreams.draw()

    def on_granted_share_changed(
        self, part
    ):  # of each quota that is granted by the count seen from here; 0: none tells
        self.quota.granted = part
        self.redivide(part > 0)

    def use_coordination(self, choices):  # what the fleet chooses together of its servers (choices.Shared)
        self.upstreams.choices = choices
        choices.on_servers_updated({view.server.id: view.server for view in self.upstreams.servers})

    def on_request(self, request):
        now, customer, granted = self.port.now, request.customer, self.quota.granted
        if customer.account not in self.accounts:
            holders = self.holders(request.quota_holders)
            customer.account = open_account(customer, holders, self.settings, now, self.launched, granted)
            customer.account.announced_holders = request.quota_holders
        self.touch(customer.account)
        soft = customer.plan.excess_value > customer.plan.excess_cost
        self.intake.take(
            PendingRequest(
                request, customer.account, min(now + request.route.latency_target, request.deadline), soft
            )
        )

    def on_response_started(self, one, took):  # it is the client's from here on; no time is up for it
        if one.request.pending:
            one.request.pending.response_started = True

    def on_attempt_ended(self, one, took, final, charged, used, report):
        pending = one.request.pending
        if pending:
            self.touch(pending.account)
            trued_up = self.settings.reports_actual_units and charged and pending.counted_units
            self.quota.spend(pending, charged - pending.counted_units if trued_up else 0.0)
        self.upstreams.attempt_ended(one, took, final)

    def on_client_disconnected(self, request):
        if request.pending:
            self.upstreams.give_up(request.pending, left=True)

    def on_server_list_failed(self):
        self.port.later(self.settings.server_list_max_age / 10, lambda: self.port.watch_servers(True))

    on_probe_ended = on_peer_message = lambda self, *heard: None  # unused: gateways talk by the counter
