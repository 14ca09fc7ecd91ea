"""Which slots a host may use on its own during a network partition."""

from lovagepier.decisions.placement.rendezvous import hash_fraction

__all__ = ["slots_for_host"]


def slots_for_host(host, slots, share):
    """Return the slots that `host` may use, as {target: slots}.

    `slots` are the stated slots of each target, of which the host gets the fraction
    `share`. Where that is less than one slot, it gets a whole slot with that
    probability, decided by a hash of host and target, and at least one slot in all.
    If instead each of 60 partitioned hosts took one slot of every target, all
    targets would be overloaded tenfold.
    """
    shares = {name: count * share for name, count in slots.items()}
    draws = {
        name: hash_fraction(f"{host}/{name}")
        for name, count in shares.items()
        if count < 1.0
    }
    if not draws:
        return shares
    first = min(draws, key=draws.get)
    for name, draw in draws.items():
        shares[name] = 1.0 if draw < shares[name] or name == first else 0.0
    return shares
