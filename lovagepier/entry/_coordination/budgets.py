"""The quotas and retry budgets of a coordinator, from the operators' bounds."""

from lovagepier.decisions.limits.quotas import Quotas
from lovagepier.decisions.limits.retries import RetryBudget

__all__ = ["make_quotas", "make_retry_budget"]

# Fraction of the allowed retries that is used. The rest allows for other hosts that see
# the time window differently and for a change of the coordinator within it.
RETRY_FRACTION = 0.85
# Retries that an idle pool earns per second, whatever its load.
MIN_RETRIES_PER_S = 0.5
# Fractions of the configured quota slack that may be used beyond rate and burst when
# no other work needs the capacity: as extra rate, as extra burst, and as debt that one
# large request may leave.
QUOTA_RATE_FRACTION = 0.45
QUOTA_BURST_FRACTION = 0.05
QUOTA_DEBT_FRACTION = 0.2
# Fraction of the quota slack that bounds an account's first burst at a new coordinator
# that does not know how much was spent, as after the loss of all hosts.
QUOTA_REFILL_FRACTION = 0.3
# Fraction of the configured quota overage that is used.
QUOTA_OVERAGE_FRACTION = 0.8


def make_quotas(cfg):
    """Return `Quotas` widened to nearly the bound of the settings."""
    slack = cfg.budgets_quota_slack
    return Quotas(
        overage=cfg.budgets_quota_overage * QUOTA_OVERAGE_FRACTION,
        extra_burst=slack * QUOTA_BURST_FRACTION,
        extra_rate=slack * QUOTA_RATE_FRACTION / cfg.budgets_quota_window,
        max_debt=slack * QUOTA_DEBT_FRACTION,
        max_initial_level=slack * QUOTA_REFILL_FRACTION,
        window_s=cfg.budgets_quota_window,
    )


def make_retry_budget(cfg, share):
    """Return this host's share of the `RetryBudget` of one service."""
    return RetryBudget(
        ratio=cfg.budgets_retry_ratio * RETRY_FRACTION,
        floor_rate=MIN_RETRIES_PER_S,
        capacity=cfg.budgets_retry_slack * RETRY_FRACTION,
        share=share,
    )
