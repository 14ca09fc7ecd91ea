"""Plays the examples of a hypothesis test at the same time, on one event loop."""

import asyncio
import functools

__all__ = ["played_together"]


def played_together(test, play, at_once):
    """Return a test that awaits `play(example)` for the examples of `test`.

    `test` takes one argument from `given` and is left as it is, so that its examples
    stay the same. If one of them fails, they are played again one after the other,
    which looks for a smaller example.
    """

    def run():
        failures = asyncio.run(_play_all(_examples(test), play, at_once))
        if failures:
            test()
            raise failures[0]

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


def _examples(test):
    """Return the examples that hypothesis makes for a test, without running it."""
    examples = []
    inner = test.hypothesis.inner_test

    # Hypothesis seeds its examples by the name and the source of the test.
    @functools.wraps(inner)
    def collect(*args, **kwargs):
        examples.extend([*args, *kwargs.values()])

    test.hypothesis.inner_test = collect
    try:
        test()
    finally:
        test.hypothesis.inner_test = inner
    return examples


async def _play_all(examples, play, at_once):
    """Play all examples, `at_once` at a time; return the exceptions."""
    limit = asyncio.Semaphore(at_once)

    async def play_one(example):
        async with limit:
            await play(example)

    outcomes = await asyncio.gather(
        *(play_one(example) for example in examples), return_exceptions=True
    )
    return [outcome for outcome in outcomes if isinstance(outcome, BaseException)]
