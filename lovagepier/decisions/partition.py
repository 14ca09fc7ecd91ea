"""Which slots a host may use by itself while it is parted from the others."""

from lovagepier.decisions.rendezvous import hash_fraction

__all__ = ["slots_for_host"]


def slots_for_host(host, slots, part):
    """Return {target: slots} that `host` may use of the stated `slots`.

    `part` of each target's slots are its own. Where that is less than one slot
    it is one at so many of the targets, drawn by host and target, and at one
    of them at the least: if each of 60 parted hosts took one slot of every
    target, all targets would be filled ten times over.
    """
    parts = {name: count * part for name, count in slots.items()}
    draws = {
        name: hash_fraction(f"{host}/{name}")
        for name, count in parts.items()
        if count < 1.0
    }
    if not draws:
        return parts
    first = min(draws, key=draws.get)
    for name, draw in draws.items():
        parts[name] = 1.0 if draw < parts[name] or name == first else 0.0
    return parts
