"""What it costs to send requests from one zone to another."""

__all__ = ["make_zone_cost"]

# Cost of a target in another zone or region, as time: the round trip, and the traffic
# that is charged for.
ZONE_COST_S = 0.001
REGION_COST_S = 0.035


def make_zone_cost(cfg):
    """Return a function of two zones for the cost in seconds, by the settings."""

    def zone_cost(here, there):
        if here == there:
            return 0.0
        same = cfg.zones.get(here.lower()) == cfg.zones.get(there.lower())
        return ZONE_COST_S if same else REGION_COST_S

    return zone_cost
