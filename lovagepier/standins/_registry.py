"""The registry of stand-ins, by their names on the command line."""

__all__ = ["STANDINS", "standin"]

STANDINS = {}


def standin(name):
    """Return a decorator that registers a stand-in class under `name`.

    The class is constructed with the parsed options.
    """

    def register(cls):
        STANDINS[name] = cls
        return cls

    return register
