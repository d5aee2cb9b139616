"""The chain of stages, and what a gateway is told."""

from itertools import islice

from ..pipeline import link
from ..policy_state import Request
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
        random, horizon = RandomGenerator(seed), max((route.target for route in settings.routes), default=1.0)
        self.port, self.launched, self.settings, self.accounts = port, port.now, settings, {}  # by last use
        self.gateways = self.sure_gateways = settings.gateways
        queue, self.quota = Queue(port), Quota(port, random, settings)
        self.upstreams = Upstreams(port, random, queue, settings, horizon)
        self.intake = Intake(port, queue, settings.longest_retry_after)
        loans = Loans(port, queue, self.accounts, horizon)
        link([self.intake, self.quota, loans, Ceiling(port), queue, self.upstreams])
        self.servers_told = self.upstreams.listed
        if settings.asks_for_servers:
            port.follow_servers(True)

    def touch(self, account):  # a request or an attempt's end makes it active, which freezes new loans on it
        account.active_at = self.port.now
        self.accounts.pop(account, None)
        self.accounts[account] = None
        kept = FORGET if len(self.accounts) <= LENDERS else IDLE * self.upstreams.horizon  # crowds come once
        for one in list(islice(self.accounts, LOOKED_AT)):
            forgotten = self.port.now - one.active_at > max(kept, one.refills_in)
            if forgotten and not one.lent and not one.in_flight:
                one.customer.account = self.accounts.pop(one)  # None: its buckets are full by now

    def holders(self, told):  # gateways that hold a quota: of the whole fleet's, those not known to have left
        return self.sure_gateways if told == self.gateways else told

    def redivide(self, credit=1.0):
        for account in self.accounts:
            account.refill(self.port.now)
            account.granted = self.quota.granted
            divide(account, self.holders(account.told_gateways))
            account.credit = min(account.credit * credit, account.most_credit)

    def fleet_told(self, live, rank, sure):  # gateways there; this one's place; those not surely gone
        self.sure_gateways = self.upstreams.sure_gateways = sure  # in a split both sides are there
        self.upstreams.gateways = live
        self.redivide()
        self.upstreams.draw()

    def counter_told(self, part):  # of each quota that is granted by the count seen from here; 0: none tells
        self.quota.granted = part
        self.redivide(part > 0)

    def choices_told(self, choices):  # what the fleet chooses together of its servers (choices.Shared)
        self.upstreams.choices = choices
        choices.listed({view.server.id: view.server for view in self.upstreams.servers})

    def arrived(self, call):
        now, customer, granted = self.port.now, call.customer, self.quota.granted
        if customer.account not in self.accounts:
            holders = self.holders(call.gateways)
            customer.account = open_account(customer, holders, self.settings, now, self.launched, granted)
            customer.account.told_gateways = call.gateways
        self.touch(customer.account)
        soft = customer.plan.beyond_value > customer.plan.beyond_cost
        self.intake.take(Request(call, customer.account, min(now + call.route.target, call.expires), soft))

    def answer_began(self, one, took):  # it is the client's from here on; no time is up for it
        if one.call.request:
            one.call.request.answer_began = True

    def try_ended(self, one, took, final, charged, used, report):
        request = one.call.request
        if request:
            self.touch(request.account)
            trued_up = self.settings.trued_up and charged and request.counted
            self.quota.spend(request, charged - request.counted if trued_up else 0.0)
        self.upstreams.attempt_ended(one, took, final)

    def client_left(self, call):
        if call.request:
            self.upstreams.give_up(call.request, left=True)

    def servers_unheard(self):
        self.port.later(self.settings.ask_within / 10, lambda: self.port.follow_servers(True))

    probed = told = lambda self, *heard: None  # unused: gateways talk by the counter
