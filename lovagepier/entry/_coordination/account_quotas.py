"""Checks requests against the quotas of their accounts."""

from lovagepier.decisions.limits.quotas import Quotas
from lovagepier.entry._cluster.messages import Refused
from lovagepier.entry._coordination.budgets import make_quotas
from lovagepier.entry._coordination.work import BANDS_PER_TIER
from lovagepier.entry.catalog import ROUTE_TIERS
from lovagepier.errors import ErrorKind

__all__ = ["AccountQuotas"]

# A request leaves this many times its own cost in its account's quota for each route
# tier above its own. An account over its quota then keeps its most urgent work, and
# small requests still pass.
QUOTA_RESERVE_COSTS = 10.0


class AccountQuotas:
    """The quotas of all accounts of the view.

    `quotas` decides what passes; `base_quotas` are the quotas without slack and
    overage.
    """

    __slots__ = ("_view", "base_quotas", "quotas")

    def __init__(self, cfg, view):
        self._view = view
        self.quotas = make_quotas(cfg)
        self.base_quotas = Quotas()

    def _find_account(self, req):
        catalog = self._view.catalog
        return catalog.accounts.get(req.account) if catalog else None

    def check(self, req, now):
        """Spend the cost of a request; return the refusal if it is over its quota."""
        account = self._find_account(req)
        if account is None or not req.cost:
            return None
        reserve = (req.tier % ROUTE_TIERS) * QUOTA_RESERVE_COSTS * req.cost
        wait = self.quotas.spend(
            account.name, account.rate, account.burst, req.cost, now, reserve
        )
        if not wait:
            return None
        why = (
            f"{account.name} is over {account.rate:g} a second and {account.burst:g}: "
            f"costs {req.cost:g}"
        )
        return Refused(req.id, ErrorKind.OVER_QUOTA, why, wait)

    def is_over_base(self, req, now):
        """Return whether a request uses its account's slack or overage.

        Such a request runs after those of the same tier that are within their quota.
        """
        account = self._find_account(req)
        if account is None:
            return False
        wait = self.base_quotas.spend(
            account.name, account.rate, account.burst, req.cost, now
        )
        return wait > 0

    def refund(self, work):
        """Give back what a request was charged that no target was asked for."""
        self.quotas.refund(work.account, work.cost)
        if work.tier % BANDS_PER_TIER == 0:
            # Those in other bands may have been over the base quota, uncharged.
            self.base_quotas.refund(work.account, work.cost)
