"""The exceptions that reading a document of unexpected shape may raise."""

__all__ = ["MALFORMED"]

# Numbers may be infinite, and lists nested without end.
MALFORMED = (
    ArithmeticError,
    AttributeError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)
