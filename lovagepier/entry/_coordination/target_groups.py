"""The targets of the view, grouped by service."""

__all__ = ["targets_by_service"]


def targets_by_service(view, in_use):
    """Return {service: {id: target}} of the services that requests may need.

    These are the ones that the configuration names, all without one, and those that
    are `in_use`: requests may have begun under an earlier configuration. Any writer can
    make up the service of an entry, and each one costs space in what hosts send.
    """
    named = view.catalog.service_names if view.catalog else None
    groups = {}
    for target in view.targets.values():
        service = target.service
        if named is None or service in named or service in in_use:
            groups.setdefault(service, {})[target.id] = target
    return groups
