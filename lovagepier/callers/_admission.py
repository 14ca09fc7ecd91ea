"""Authenticates callers and validates account, tier, deadline and request id."""

import hashlib
import math
import re
import uuid
from dataclasses import dataclass

from lovagepier import keys
from lovagepier.decisions.placement.rendezvous import hash_fraction
from lovagepier.decisions.placement.work import Work
from lovagepier.errors import ErrorKind, RequestError

__all__ = ["Admitted", "admit", "make_work"]

_REQUEST_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.:-]{0,99}\Z")
MAX_ATTEMPT = 1000


@dataclass(slots=True)
class Admitted:
    """An authenticated request whose headers are within the account's limits.

    `id` starts with the account's name, so that no account can reach the
    streams of another. `deadline` is in seconds on the node's clock.
    `id_is_generated` is true if the caller sent no id. `attempt` is how often
    the caller has sent the id before; `offset` is the byte at which a joined
    stream resumes.
    """

    account: object
    tier: int
    deadline: float
    id: str
    id_is_generated: bool
    route: str
    attempt: int
    offset: int


def admit(node, request, default_route):
    """Authenticate a request and check its headers; return `Admitted`.

    `default_route` applies if the request names no route. Raise `RequestError`
    for an unknown key or a header that is malformed or not allowed.
    """
    view = node.view
    name = keys.find_owner(
        keys.bearer_token(request.header("Authorization")), view.account_by_hash
    )
    if name is None:
        raise RequestError(ErrorKind.UNAUTHENTICATED, "no account has this key")
    account = view.accounts[name]
    given_id = request.header("X-Request-Id")
    return Admitted(
        account=account,
        tier=_tier(view, account, request.header("X-Tier")),
        deadline=_deadline(node, account, request.header("X-Deadline-Ms")),
        id=_scoped_id(account, given_id),
        id_is_generated=not given_id,
        route=_route(view, request.header("X-Route"), default_route),
        attempt=_number(request, "X-Attempt", MAX_ATTEMPT),
        offset=_number(request, "X-Resume-Offset", 1 << 40),
    )


def _tier(view, account, wanted):
    if not wanted:
        return account.tier
    if wanted not in view.tiers:
        names = ", ".join(view.tiers)
        raise RequestError(ErrorKind.UNKNOWN_TIER, f"the tiers are {names}")
    number = view.tiers.index(wanted)
    if number < account.tier:
        raise RequestError(
            ErrorKind.UNKNOWN_TIER,
            f"the account's tier is {view.tiers[account.tier]}; only lower ones may "
            "be asked for",
        )
    return number


def _deadline(node, account, text):
    cfg = node.cfg
    longest = cfg.callers_longest_deadline
    if account.max_deadline_s is not None:
        longest = min(longest, account.max_deadline_s)
    if not text:
        return node.clock() + min(cfg.callers_default_deadline, longest)
    try:
        seconds = float(text) / 1000.0
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds) or seconds <= 0 or seconds > longest:
        raise RequestError(
            ErrorKind.BAD_DEADLINE,
            f"X-Deadline-Ms must be above 0 and at most {longest * 1000:.0f}",
        )
    return node.clock() + seconds


def _scoped_id(account, given):
    if not given:
        return f"{account.name}.{uuid.uuid4().hex}"
    if not _REQUEST_ID.match(given):
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            "X-Request-Id takes 1 to 100 letters, digits and '_.:-'",
        )
    return f"{account.name}.{given}"


def _route(view, wanted, default):
    if not wanted:
        return default
    if wanted not in view.routes:
        raise RequestError(ErrorKind.UNKNOWN_ROUTE, f"no route is named {wanted[:80]}")
    return wanted


def _number(request, name, maximum):
    text = request.header(name)
    if not text:
        return 0
    if not text.isdigit() or len(text) > 15 or int(text) > maximum:
        raise RequestError(ErrorKind.BAD_REQUEST, f"{name} is not a whole number")
    return int(text)


def make_work(node, admitted, body, prefill_tokens=0, max_tokens=0, blocks=()):
    """Return the `Work` that describes an admitted request to the scheduler.

    `blocks` are the hashes of the prompt's prefix blocks. The fingerprint is a
    hash of the body, by which poison requests are recognized.
    """
    fingerprint = hashlib.sha256(body).hexdigest()[:32]
    return Work(
        id=admitted.id,
        entry=node.cfg.node_name,
        account=admitted.account.name,
        tier=admitted.tier,
        deadline=admitted.deadline,
        weight=admitted.account.weight,
        route=admitted.route,
        prefill_tokens=prefill_tokens,
        max_decode_tokens=max_tokens,
        blocks=blocks,
        draw=hash_fraction(admitted.id),
        fingerprint=fingerprint,
        zone=node.cfg.node_zone,
        body_bytes=len(body),
        attempt=admitted.attempt,
    )
