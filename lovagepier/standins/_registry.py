"""The registry of stand-ins, by the name that the command line uses."""

__all__ = ["STANDINS", "standin"]

STANDINS = {}


def standin(name):
    """Register a stand-in class; it takes the parsed options."""

    def register(cls):
        STANDINS[name] = cls
        return cls

    return register
