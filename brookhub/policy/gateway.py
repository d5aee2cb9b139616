"""The chain of stages, and what a gateway is told."""

from itertools import islice

from ..chain import link
from ..state import Request
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
        gateways, wait = settings.gateways, settings.counter_wait
        random, horizon = RandomGenerator(seed), max((route.target for route in settings.routes), default=1.0)
        self.port, self.launched, self.settings, self.accounts = port, port.now, settings, {}  # by last use
        self.gateways = self.sure_gateways = gateways
        self.queue, self.quota = Queue(port), Quota(port, random, wait, settings.largest, gateways)
        self.upstreams = Upstreams(port, random, self.queue, settings, horizon)
        self.intake = Intake(port, self.queue, settings.longest_retry_after)
        loans = Loans(port, self.queue, self.accounts, horizon)
        link([self.intake, self.quota, loans, Ceiling(port), self.queue, self.upstreams])
        self.servers_told = self.upstreams.listed
        if settings.asks_for_servers:
            port.follow_servers(True)

    def touch(self, account):
        """Any request or end of an attempt, refused or not, makes a customer active and freezes loans on it."""
        account.active_at = self.port.now
        self.accounts.pop(account, None)
        self.accounts[account] = None
        kept = FORGET if len(self.accounts) <= LENDERS else IDLE * self.upstreams.horizon  # crowds come once
        for one in list(islice(self.accounts, LOOKED_AT)):
            idle_for = self.port.now - one.active_at
            if idle_for > max(kept, one.refills_in) and not one.lent and not one.in_flight:
                one.customer.account = self.accounts.pop(one)  # None: its buckets are full by now

    def holders(self, told):
        """How many gateways hold a quota: of the whole fleet's, those not known to have left."""
        return self.sure_gateways if told == self.gateways else told

    def redivide(self, credit=1.0):
        for account in self.accounts:
            for bucket in (account.quota, account.share, account.unconfirmed, account.ceiling):
                bucket.read(self.port.now)
            account.granted = self.quota.granted
            divide(account, self.holders(account.told_gateways))
            account.credit = min(account.credit * credit, account.most_credit)

    def fleet_told(self, live, rank, sure):
        """Membership's word: how many gateways are there, this one's place, how many have not surely left.

        What is held jointly is divided by `sure`: in a split both sides are still there. The rest goes by `live`.
        """
        self.sure_gateways = self.upstreams.sure_gateways = sure
        self.upstreams.gateways = live
        self.redivide()
        self.upstreams.draw()

    def counter_told(self, part):
        """The part of each quota that is granted by the count seen from here; 0: none tells, no credit is left."""
        self.quota.granted = part
        self.redivide(part > 0)

    def choices_told(self, choices):
        """What the fleet chooses together of its servers (choices.Shared); each decides alone without it."""
        self.upstreams.choices = choices
        choices.listed({view.server.id: view.server for view in self.upstreams.servers})

    def arrived(self, call):
        """A client's request; it gets its one answer by the port."""
        now, customer = self.port.now, call.customer
        if customer.account not in self.accounts:
            holders = self.holders(call.gateways)
            granted = self.quota.granted
            customer.account = open_account(customer, holders, self.settings, now, self.launched, granted)
            customer.account.told_gateways = call.gateways
        account, plan = customer.account, customer.plan
        self.touch(account)
        target_at = min(now + call.route.target, call.expires)
        self.intake.take(Request(call, account, target_at, soft=plan.beyond_value > plan.beyond_cost))

    def answer_began(self, one, took):
        """A server's answer is the client's from here on; no time is up for it."""
        if one.call.request:
            one.call.request.answer_began = True

    def try_ended(self, one, took, final, charged, used, report):
        """How an attempt ended: s it took, whether it is the final answer, units charged, what the server tells."""
        request = one.call.request
        if request:
            self.touch(request.account)
            trued_up = self.settings.trued_up and charged and request.counted
            self.quota.spend(request, charged - request.counted if trued_up else 0.0)
        self.upstreams.attempt_ended(one, took, final)

    def client_left(self, call):
        """The client closed its connection."""
        if call.request:
            self.upstreams.give_up(call.request, left=True)

    def servers_unheard(self):
        """The server list's changes come no more: ask anew."""
        self.port.later(self.settings.ask_within / 10, lambda: self.port.follow_servers(True))

    def probed(self, *told):
        """Unused: requests tell more."""

    told = probed  # unused: gateways talk by the counter
