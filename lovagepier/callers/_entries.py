"""The list of entry hosts that a caller should use, with its time to live."""

from lovagepier.decisions.placement.rendezvous import rank
from lovagepier.web import json_response

__all__ = ["entries_response"]

MAX_ENTRIES = 4


def entries_response(node, account, zone):
    """Return a response that lists entry hosts for an account, preferred first.

    Hosts in the caller's zone come first, then those in its region. Within
    each group the order depends on the account, which spreads bursts of
    different accounts over the hosts. An unknown zone is ignored.
    """
    roster = node.roster
    region = node.view.zones.get(zone, "")
    names = [name for name in roster.live if roster.facts(name).get("url")]

    def distance(name):
        facts = roster.facts(name)
        if zone and facts.get("zone") == zone:
            return 0
        return 1 if region and facts.get("region") == region else 2

    ranked = rank(f"entry/{account}", names)
    ranked.sort(key=distance)
    entries = [
        {
            "address": roster.facts(name)["url"],
            "zone": roster.facts(name).get("zone", ""),
            "region": roster.facts(name).get("region", ""),
        }
        for name in ranked[:MAX_ENTRIES]
    ]
    ttl = node.cfg.callers_entry_ttl
    return json_response({"entries": entries, "ttl_seconds": ttl})
